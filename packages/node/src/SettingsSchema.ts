/** JSON Schema of the settings of a node. After a change run `npm run generate`. */
export const ADDRESS_PATTERN = '^(\\[[0-9a-fA-F:]+\\]|[^:\\s]+):[0-9]{1,5}$'
export const URL_PATTERN = '^https?://[^/\\s]+'
const ADDRESS = { type: 'string', pattern: ADDRESS_PATTERN }
const NAME = { type: 'string', pattern: '^[A-Za-z0-9._-]{1,128}$' }

export const SETTINGS_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  required: ['nodeId', 'institution', 'zone', 'callerAddress', 'peerAddress', 'adminAddress', 'logUrl'],
  properties: {
    nodeId: NAME,
    institution: NAME,
    zone: NAME,
    service: { type: 'string', pattern: '^[A-Za-z0-9._-]{0,128}$' },
    callerAddress: ADDRESS,
    peerAddress: ADDRESS,
    announcedPeerAddress: ADDRESS,
    adminAddress: ADDRESS,
    targetUrl: { type: 'string', pattern: `^$|${URL_PATTERN}` },
    targetHealthPath: { type: 'string', pattern: '^/' },
    logUrl: { type: 'string', pattern: URL_PATTERN },
    seeds: { type: 'array', items: ADDRESS },
    logLevel: { enum: ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] }
  }
}
