/** Enables `roarr`. It reads this variable only when it is loaded, so this module must be imported first. */
process.env['ROARR_LOG'] = 'true'

export {}
