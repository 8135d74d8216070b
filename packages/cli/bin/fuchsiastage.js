#!/usr/bin/env node
import { runCommandLine } from '../dist/index.js'

process.exitCode = await runCommandLine(process.argv)
