#!/usr/bin/env node
import * as main from '../lib/main.js'

await main.main(process.argv.slice(2), process.env)
