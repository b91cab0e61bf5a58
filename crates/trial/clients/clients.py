"""psycopg 3: pip install psycopg; python3 clients.py URL"""

import sys
import threading
import time

import psycopg


def state(work):
    try:
        work()
    except psycopg.Error as error:
        return error.sqlstate
    return "no error"


def in_transaction(connection, *statements):
    with connection.transaction():
        for statement in statements:
            connection.execute(statement)


def main(url):
    with psycopg.connect(url, autocommit=True) as connection:
        connection.execute("DROP TABLE IF EXISTS py_lots")
        connection.execute(
            "CREATE TABLE py_lots (id bigint PRIMARY KEY, name text, price float8, open bool, raw bytea)"
        )
        insert = "INSERT INTO py_lots VALUES (%s, %s, %s, %s, %s)"
        with connection.transaction():
            connection.execute(insert, (1, "volvo", 1.5, True, b"\x00\xff"))
            connection.execute(insert, (2, None, None, False, None))
        for _ in range(12):
            found = connection.execute(
                "SELECT * FROM py_lots WHERE id = %s", (1,), prepare=True
            ).fetchone()
        print(found)
        print(connection.execute(
            "SELECT count(*), max(price), sum(id) FROM py_lots WHERE open = %s", (True,)
        ).fetchone())
        binary = connection.cursor(binary=True)
        print(binary.execute("SELECT * FROM py_lots ORDER BY id").fetchall())

        duplicate = "INSERT INTO py_lots (id) VALUES (1)"
        print(state(lambda: connection.execute(duplicate)))
        print(state(lambda: in_transaction(
            connection, "INSERT INTO py_lots (id) VALUES (3)", duplicate
        )))
        with connection.transaction():
            connection.execute("INSERT INTO py_lots (id) VALUES (3)")
            print(state(lambda: in_transaction(connection, duplicate)))
        print(connection.execute("SELECT count(*) FROM py_lots").fetchone())

        with connection.cursor().copy("COPY py_lots (id, name) FROM STDIN") as copy:
            for number in range(10, 13):
                copy.write_row((number, f"a\t{number}"))
        out = "COPY (SELECT id, name FROM py_lots WHERE id >= 10 ORDER BY id) TO STDOUT"
        with connection.cursor().copy(out) as copy:
            print(list(copy.rows()))
        with connection.pipeline():
            one = connection.execute("SELECT id FROM py_lots WHERE id = %s", (10,))
            two = connection.execute("SELECT name FROM py_lots WHERE id = %s", (11,))
            print(one.fetchone(), two.fetchone())

        begun = time.time()
        canceling = threading.Timer(0.3, connection.cancel)
        canceling.start()
        print(state(lambda: connection.execute("SELECT pg_sleep(20)")), time.time() - begun < 15)
        connection.execute("SET application_name = 'me'")
        print(connection.execute("SHOW application_name").fetchone())
        connection.execute("DROP TABLE py_lots")


main(sys.argv[1])
