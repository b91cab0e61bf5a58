\set ON_ERROR_STOP off
DROP TABLE IF EXISTS psql_lots;
CREATE TABLE psql_lots (id bigint PRIMARY KEY, name text, price float8, open bool);
BEGIN;
INSERT INTO psql_lots VALUES (1, 'volvo', 1.5, true), (2, NULL, NULL, false);
SELECT * FROM psql_lots ORDER BY id;
COMMIT;
BEGIN;
DELETE FROM psql_lots;
ROLLBACK;
SELECT count(*) FROM psql_lots;
INSERT INTO psql_lots (id) VALUES (1);
\echo :SQLSTATE
COPY psql_lots (id, name) FROM STDIN;
10	a\tb
11	\N
\.
COPY (SELECT id, name FROM psql_lots WHERE id >= 10 ORDER BY id) TO STDOUT;
PREPARE lot AS SELECT name, price FROM psql_lots WHERE id = $1;
EXECUTE lot (1);
EXECUTE lot (2);
DEALLOCATE lot;
SET statement_timeout = 100;
SELECT pg_sleep(5);
\echo :SQLSTATE
RESET statement_timeout;
SELECT 1 AS one;
DROP TABLE psql_lots;
