import * as assert from 'node:assert/strict'
import * as fixture from '@elmpost/common/hosting/testing/Fixture.js'
import * as hostGateway from './HostGateway.js'
import * as test from 'node:test'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const NOW_MS = fixture.T0

/** A link that notes what is sent, in order with what the gateway reports. */
class FakeLink implements services.IPeerLink {
  public readonly runs = new Map<number, number>()
  public readonly answers: messages.AnswerMessage[] = []
  public readonly calls: messages.CallMessage[] = []

  constructor (public readonly nodeId: string, private readonly _events: string[]) {}

  public sendCall (call: messages.CallMessage): 'sent' {
    this.calls.push(call)
    return 'sent'
  }

  public release (): void {}

  public send (message: messages.PeerMessage): boolean {
    if (message.kind !== 'answer') return true
    this._events.push('answer')
    this.answers.push(message)
    return true
  }
}

/** The gateway of one host, whose effects are carried out when it reports a step. */
class Fixture {
  public readonly events: string[] = []
  public readonly host = new fixture.Host()
  public readonly entry = new FakeLink('entry', this.events)
  public readonly delegate = new FakeLink('b', this.events)
  public readonly gateway: hostGateway.HostGateway
  public readonly requests: number[] = []
  private _told = 0

  constructor () {
    let recorded = 0
    this.host.crashes.onRecorded(() => { recorded++ })
    this.gateway = new hostGateway.HostGateway({
      nodeId: 'a',
      host: this.host.calls,
      links: { linkTo: () => this.delegate } as unknown as services.IPeerLinks,
      nowMs: () => NOW_MS,
      stepped: () => {
        if (recorded > this._told) this.events.push('record')
        this._told = recorded
      },
      deadlineAt: () => {},
      targetDied: () => {}
    })
    const runner = { run: (request: types.TargetRequest) => { this.requests.push(request.runId) } }
    this.gateway.setRunner(runner as unknown as services.ITargetRunner)
  }
}

test.describe('HostGateway', () => {
  test.describe('run that ends with the death of the target', () => {
    test.it('is told to others before it is answered, because the entry node may send the request on at once', () => {
      const fixtures = new Fixture()
      const call = fixture.call(NOW_MS)
      fixtures.gateway.accept(fixtures.entry, call)
      const runId = fixtures.requests[0] ?? 0
      assert.ok(fixtures.host.calls.start(runId, NOW_MS))
      fixtures.gateway.failed({ ...call, runId, deadlineAtMs: NOW_MS + 1 }, { kind: 'lost', reason: 'target-lost', targetDied: true })
      assert.deepEqual(fixtures.events, ['record', 'answer'])
      assert.deepEqual(fixtures.entry.answers[0]?.crashes?.map(crash => crash.nodeId), ['a'])
    })
  })

  test.describe('run of a delegate', () => {
    test.it('that crashed its target brings the record to the owner, which passes it on to the entry node', () => {
      const fixtures = new Fixture()
      fixtures.host.targetReady = false
      fixtures.host.delegate = { nodeId: 'b', address: 'b:1' }
      const call = fixture.call(NOW_MS, { key: fixture.keyAt(NOW_MS) })
      fixtures.gateway.accept(fixtures.entry, call)
      const callId = fixtures.delegate.calls[0]?.callId ?? 0
      const crashes = [{ key: call.key ?? '', fingerprint: call.fingerprint, nodeId: 'b', atMs: NOW_MS, concurrent: 1 }]
      fixtures.gateway.delegateAnswered(fixtures.delegate, {
        kind: 'answer', callId, outcome: 'unknown', reason: 'target-lost', status: 0, headers: {}, body: undefined, last: true, retryAfterMs: 0, load: { inFlight: 0, queued: 0, slots: 2 }, crashes
      })
      assert.ok(fixtures.host.crashes.hasKey(call.key ?? ''))
      assert.deepEqual(fixtures.entry.answers[0]?.crashes, crashes)
    })
  })
})
