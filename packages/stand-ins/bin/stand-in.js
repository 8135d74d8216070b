#!/usr/bin/env node
import { createCommand } from '../dist/command.js'

await createCommand().parseAsync(process.argv)
