import { Deployment, HAS_TROUBLE, HOST, runCase, send, sleep, BROKEN, HELD } from './deployment.mjs'
import { Store } from './store.mjs'
import { Server } from './server.mjs'
import { configuration, modelHeaders, streamAnswer } from './configuration.mjs'
await runCase(async () => {
  const d = await Deployment.create({ folder: '/tmp/x', machines: 3, zones: ['van-a', 'van-b', 'vic-a'] })
  const store = new Store(`${d.network}.250`, 0); await store.start()
  store.writeConfiguration(configuration(1))
  const servers = []
  for (let i = 0; i < 4; i++) { let s; s = new Server({ host: `${d.network}.200`, service: 'drafter', zone: 'van-a', models: ['m0', `m${i + 1}`], record: d.record, answer: streamAnswer(() => s) }); await s.start(); servers.push(s); store.writeServer(s.id, s.entry()) }
  for (let i = 0; i < 4; i++) { const s = new Server({ host: `${d.network}.200`, service: 'ledger', zone: 'van-a', record: d.record }); await s.start(); servers.push(s); store.writeServer(s.id, s.entry()) }
  for (let i = 1; i <= 3; i++) d.start(i, store.address)
  await d.waitUntilReady(d.daemons)
  d.record('ready')
  await sleep(1500)
  const results = []
  const load = async (n) => { for (let i = 0; i < n; i++) { const dm = d.daemons[i % 3]; 
    results.push(await send(dm.front, { host: HOST, path: '/payout/1', body: 'x' })); results.push(await send(dm.front, { host: HOST, path: '/draft/1', body: 'x', headers: modelHeaders('m0'), budgetMilliseconds: 5000 })); await sleep(10) } }
  await load(10)
  d.record(JSON.stringify(results.map((r) => [r.status, r.end]).slice(-4)))
  if (HAS_TROUBLE) { store.writeServer('i-foreign', { ...servers[0].entry(), addr: process.env.ADDR ?? `${d.network}.201:70000`, service: process.env.SERVICE ?? 'drafter' , models: []}); d.record('foreign entry') }
  for (let i = 0; i < 20; i++) { await load(5); d.record(JSON.stringify(results.slice(-10).map((r) => [r.status, r.end]))); await sleep(200) }
  const ends = d.daemons.flatMap((x) => x.ends)
  console.log(JSON.stringify(ends))
  for (const x of d.daemons) console.log(d.log(x).split('\n').filter((l) => !l.startsWith('{')).slice(0, 12).join('\n'))
  await d.end()
  return ends.length > 0 ? BROKEN : HELD
})
