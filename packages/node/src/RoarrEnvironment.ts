/** Enables `roarr`. It reads the variable once, when it is loaded, so this module must be imported before it. */
process.env['ROARR_LOG'] ??= 'true'

export {}
