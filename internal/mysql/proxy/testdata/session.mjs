// A typical application session with the mysql2 client. Each line of output is what one step saw, so
// that the output of a server can be compared with that of a proxy in front of it.
import { createConnection } from "mysql2/promise";

const c = await createConnection({ host: "127.0.0.1", port: Number(process.env.PORT), user: "app", password: "secret", multipleStatements: process.env.MANY === "1" });

async function step(name, f) {
  try {
    console.log(name, JSON.stringify(await f()));
  } catch (e) {
    console.log(name, e.errno, e.sqlState);
  }
}

const rows = async (sql, args) => (await c.query(sql, args))[0];
const run = async (sql, args) => (await c.execute(sql, args))[0];

await step("ping", () => c.ping());
await step("text", () => rows("SELECT 1"));
await step("prepared", () => run("SELECT ?", ["a text"]));
await step("again", () => run("SELECT ?", ["another"]));
await step("insert", async () => (await run("INSERT INTO orders (id, item, qty) VALUES (?, ?, ?)", ["B1", "hose", "3"])).affectedRows);
await step("begin", () => c.beginTransaction().then(() => "in"));
await step("inside", async () => (await c.query("INSERT INTO orders (id, item, qty) VALUES ('B2', 'pump', 4)"))[0].affectedRows);
await step("seen inside", () => rows("SELECT COUNT(*) FROM orders"));
await step("rollback", () => c.rollback().then(() => "back"));
await step("seen behind", () => rows("SELECT COUNT(*) FROM orders"));
await step("begin", () => c.beginTransaction().then(() => "in"));
await step("update", async () => (await c.query("UPDATE orders SET qty = qty + 2 WHERE id = 'B1'"))[0].affectedRows);
await step("commit", () => c.commit().then(() => "done"));
await step("order", () => run("SELECT id, item, qty FROM orders WHERE id = ?", ["B1"]));
await step("wrong", () => rows("this is no statement"));
await step("setting", () => rows("SET time_zone = '+10:00'").then(() => "set"));
await step("zone", () => rows("SELECT @@time_zone"));
await step("variable", () => rows("SET @basket = 'x'").then(() => "set"));
await step("basket", () => rows("SELECT @basket"));
await step("user", () => c.changeUser({ user: "other", password: "hidden" }).then(() => "changed"));
await step("basket behind", () => rows("SELECT @basket"));
await step("many rows", async () => (await rows("SELECT ROW FROM rows_20000")).length);
if (process.env.MANY === "1") await step("many", () => rows("SELECT 1; SELECT 2"));
await c.end();
