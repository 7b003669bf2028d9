#!/usr/bin/env -S node --max-semi-space-size=4 --v8-pool-size=1
import * as main from '../lib/main.js'

await main.main(process.argv.slice(2), process.env)
