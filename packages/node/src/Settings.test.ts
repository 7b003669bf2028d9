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

  test.it('reports all problems together with their remedies, so that an operator corrects the file in one pass', async () => {
    const result = await settings.parse('test', JSON.stringify({ ...VALID, nodeId: '', peerAddress: 'nowhere', adminAddress: '10.0.0.1:1', targetUrl: '', logLevel: 'loud', extra: 1, logUrl: undefined }), {})
    const { problems, message } = result.expectErr('refused')
    assert.deepEqual(problems.map(problem => problem.pointer).sort(), ['/adminAddress', '/extra', '/logLevel', '/logUrl', '/nodeId', '/peerAddress', '/targetUrl'])
    assert.ok(problems.every(problem => problem.remedy.length > 10))
    assert.match(message, /host:port/)
  })

  test.it('overrides settings by environment variables, so that many machines can share one file', async () => {
    const loaded = (await settings.parse('test', JSON.stringify(VALID), { ELMPOST_NODE_ID: 'till-2', ELMPOST_SEEDS: '10.0.0.1:7200, 10.0.0.2:7200', ELMPOST_LOG_URL: 'http://log:1' })).unwrap()
    assert.deepEqual([loaded.nodeId, loaded.seeds, loaded.logUrl], ['till-2', ['10.0.0.1:7200', '10.0.0.2:7200'], 'http://log:1'])
  })

  test.it('reports the line of a repeated key, because the dropped value may be the intended one', async () => {
    const text = JSON.stringify(VALID, null, 2).replace('"zone"', '"nodeId": "till-2",\n  "zone"')
    const { problems } = (await settings.parse('test', text, { ELMPOST_NODE_ID: 'till-3' })).expectErr('refused')
    assert.deepEqual(problems.map(({ pointer, message }) => [pointer, message]), [['/nodeId', 'the key is repeated on line 4']])
  })

  test.it('checks values from the environment like those of the file', async () => {
    assert.deepEqual(await problemsOf({}, { ELMPOST_CALLER_ADDRESS: '127.0.0.1:99999', ELMPOST_SEEDS: 'x' }), ['/seeds/0', '/callerAddress'])
  })

  test.it('accepts an announced peer address and checks it, because peers cannot connect to a wrong one', async () => {
    assert.deepEqual(await problemsOf({ announcedPeerAddress: '10.0.0.1:7200' }), [])
    assert.deepEqual(await problemsOf({ announcedPeerAddress: '10.0.0.1' }), ['/announcedPeerAddress'])
    assert.deepEqual(await problemsOf({ announcedPeerAddress: '10.0.0.1:70000' }), ['/announcedPeerAddress'])
    assert.deepEqual(await problemsOf({}, { ELMPOST_ANNOUNCED_PEER_ADDRESS: 'x' }), ['/announcedPeerAddress'])
  })

  test.it('refuses an administration address that other machines can reach, because the endpoint has no access control', async () => {
    assert.deepEqual(await problemsOf({ adminAddress: '0.0.0.0:7300' }), ['/adminAddress'])
  })

  test.it('reports why a file cannot be read or parsed', async () => {
    assert.match((await settings.load('/nonexistent/settings.json', {})).expectErr('refused').message, /ENOENT.*--settings/s)
    assert.match((await settings.parse('test', '{', {})).expectErr('refused').message, /not JSON/)
    assert.match((await settings.parse('test', '[]', {})).expectErr('refused').message, /not a JSON object/)
  })
})
