import { playAnnouncements } from './play-announcements.js'

for (const line of await playAnnouncements()) process.stdout.write(`${line}\n`)
process.exit()
