import * as assert from 'node:assert/strict'
import * as settings from './Settings.js'
import * as test from 'node:test'

const VALID = {
  nodeId: 'till-1',
  institution: 'kartuli',
  zone: 'vake',
  service: 'till',
  callerAddress: '127.0.0.1:7100',
  peerAddress: '[::1]:7200',
  adminAddress: '127.0.0.1:7300',
  targetUrl: 'http://127.0.0.1:8080',
  logUrl: 'http://127.0.0.1:7000'
}

async function problemsOf (change: object, environment: Record<string, string> = {}): Promise<string[]> {
  const result = await settings.parse('test', JSON.stringify({ ...VALID, ...change }), environment)
  return result.isOk() ? [] : result.error.problems.map(problem => problem.pointer)
}

test.describe('Settings', () => {
  test.it('accepts a complete file and fills in the defaults', async () => {
    const loaded = (await settings.parse('test', JSON.stringify(VALID), {})).unwrap()
    assert.deepEqual(loaded, { ...VALID, announcedPeerAddress: VALID.peerAddress, targetHealthPath: '/healthz', seeds: [], logLevel: 'info' })
  })

  test.it('reports every problem at once with its remedy, so that an operator corrects the file in one pass', async () => {
    const result = await settings.parse('test', JSON.stringify({ ...VALID, nodeId: '', peerAddress: 'nowhere', adminAddress: '10.0.0.1:1', targetUrl: '', logLevel: 'loud', extra: 1, logUrl: undefined }), {})
    const { problems, message } = result.expectErr('refused')
    assert.deepEqual(problems.map(problem => problem.pointer).sort(), ['/adminAddress', '/extra', '/logLevel', '/logUrl', '/nodeId', '/peerAddress', '/targetUrl'])
    assert.ok(problems.every(problem => problem.remedy.length > 10))
    assert.match(message, /host:port/)
  })

  test.it('lets the environment override each field, so that one file serves many machines', async () => {
    const loaded = (await settings.parse('test', JSON.stringify(VALID), { ELMPOST_NODE_ID: 'till-2', ELMPOST_SEEDS: '10.0.0.1:7200, 10.0.0.2:7200', ELMPOST_LOG_URL: 'http://log:1' })).unwrap()
    assert.deepEqual([loaded.nodeId, loaded.seeds, loaded.logUrl], ['till-2', ['10.0.0.1:7200', '10.0.0.2:7200'], 'http://log:1'])
  })

  test.it('refuses repeated keys with their line, because the value that was meant may be the one that is dropped', async () => {
    const text = JSON.stringify(VALID, null, 2).replace('"zone"', '"nodeId": "till-2",\n  "zone"')
    const { problems } = (await settings.parse('test', text, { ELMPOST_NODE_ID: 'till-3' })).expectErr('refused')
    assert.deepEqual(problems.map(({ pointer, message }) => [pointer, message]), [['/nodeId', 'the key is repeated on line 4']])
  })

  test.it('checks overrides like the file', async () => {
    assert.deepEqual(await problemsOf({}, { ELMPOST_CALLER_ADDRESS: '127.0.0.1:99999', ELMPOST_SEEDS: 'x' }), ['/seeds/0', '/callerAddress'])
  })

  test.it('takes another announced peer address and checks it, because peers cannot reach a wrong one', async () => {
    assert.deepEqual(await problemsOf({ announcedPeerAddress: '10.0.0.1:7200' }), [])
    assert.deepEqual(await problemsOf({ announcedPeerAddress: '10.0.0.1' }), ['/announcedPeerAddress'])
    assert.deepEqual(await problemsOf({ announcedPeerAddress: '10.0.0.1:70000' }), ['/announcedPeerAddress'])
    assert.deepEqual(await problemsOf({}, { ELMPOST_ANNOUNCED_PEER_ADDRESS: 'x' }), ['/announcedPeerAddress'])
  })

  test.it('refuses an administration address that other machines reach, because it has no access control', async () => {
    assert.deepEqual(await problemsOf({ adminAddress: '0.0.0.0:7300' }), ['/adminAddress'])
  })

  test.it('names the reason for a missing file and for text that is not an object', async () => {
    assert.match((await settings.load('/nonexistent/settings.json', {})).expectErr('refused').message, /ENOENT.*--settings/s)
    assert.match((await settings.parse('test', '{', {})).expectErr('refused').message, /not JSON/)
    assert.match((await settings.parse('test', '[]', {})).expectErr('refused').message, /not a JSON object/)
  })
})
