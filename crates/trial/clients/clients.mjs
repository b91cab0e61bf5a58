// node-postgres: npm install pg pg-copy-streams; node clients.mjs URL
import pg from 'pg';
import { from, to } from 'pg-copy-streams';
import { text } from 'node:stream/consumers';
import { pipeline } from 'node:stream/promises';
import { Readable } from 'node:stream';

const url = process.argv[2];
const client = new pg.Client(url);
await client.connect();
const show = (...parts) => console.log(JSON.stringify(parts));
const code = (work) => work.then(() => 'no error', (error) => error.code);

await client.query('DROP TABLE IF EXISTS node_lots');
await client.query('CREATE TABLE node_lots (id bigint PRIMARY KEY, name text, price float8, open bool)');
await client.query('BEGIN');
await client.query('INSERT INTO node_lots VALUES ($1, $2, $3, $4)', [1, 'volvo', 1.5, true]);
await client.query('COMMIT');
for (const run of [1, 2, 3]) {
  const lot = { name: 'lot', text: 'SELECT * FROM node_lots WHERE id = $1', values: [1] };
  show(run, (await client.query(lot)).rows);
}
show(await code(client.query('INSERT INTO node_lots (id) VALUES ($1)', [1])));

const sink = client.query(from('COPY node_lots (id, name) FROM STDIN'));
await pipeline(Readable.from(['10\ta\\tb\n', '11\t\\N\n']), sink);
const copied = 'COPY (SELECT id, name FROM node_lots WHERE id >= 10 ORDER BY id) TO STDOUT';
show(await text(client.query(to(copied))));

// The cancel request goes over a connection of its own, again until the statement has begun.
const { hostname, port } = new URL(url);
const cancel = () => {
  const { connection } = new pg.Client(url);
  connection.on('connect', () => connection.cancel(client.processID, client.secretKey));
  connection.on('error', () => {});
  connection.connect(Number(port), hostname);
};
const begun = Date.now();
const outcome = code(client.query('SELECT pg_sleep(20)'));
const canceling = setInterval(cancel, 200);
show(await outcome, Date.now() - begun < 15000);
clearInterval(canceling);
show((await client.query('SELECT 1 AS one')).rows);
await client.query('DROP TABLE node_lots');
await client.end();
process.exit(0);
