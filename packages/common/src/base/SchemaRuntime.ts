/** The helpers of `ajv` that generated checks call. They do not load the rest of `ajv`. */
import * as equalModule from 'ajv/dist/runtime/equal.js'
import * as lengthModule from 'ajv/dist/runtime/ucs2length.js'

export const equal = equalModule.default.default
export const ucs2length = lengthModule.default.default
