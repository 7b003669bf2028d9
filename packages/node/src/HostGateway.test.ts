import * as assert from 'node:assert/strict'
import * as fixture from '@elmpost/common/hosting/testing/Fixture.js'
import * as hostGateway from './HostGateway.js'
import * as test from 'node:test'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

const NOW_MS = fixture.T0

/** Records the messages that are sent, in order with the steps of the gateway. */
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

/** The gateway of one host. Its crash records are published when it reports a step. */
class Fixture {
  public readonly events: string[] = []
  public readonly host = new fixture.Host()
  public readonly entry = new FakeLink('entry', this.events)
  public readonly delegate = new FakeLink('b', this.events)
  public readonly gateway: hostGateway.HostGateway
  public readonly requests: number[] = []
  private _published = 0

  constructor () {
    let recorded = 0
    this.host.crashes.onRecorded(() => { recorded++ })
    this.gateway = new hostGateway.HostGateway({
      nodeId: 'a',
      host: this.host.calls,
      links: { linkTo: () => this.delegate } as unknown as services.IPeerLinks,
      nowMs: () => NOW_MS,
      onStep: () => {
        if (recorded > this._published) this.events.push('record')
        this._published = recorded
      },
      scheduleExpiry: () => {},
      onTargetDied: () => {}
    })
    const runner = { run: (request: types.TargetRequest) => { this.requests.push(request.runId) } }
    this.gateway.setRunner(runner as unknown as services.ITargetRunner)
  }
}

test.describe('HostGateway', () => {
  test.describe('run during which the target dies', () => {
    test.it('publishes the crash record before the answer, because the entry node may retry the request at once', () => {
      const fixtures = new Fixture()
      const call = fixture.call(NOW_MS)
      fixtures.gateway.accept(fixtures.entry, call)
      const runId = fixtures.requests[0] ?? 0
      assert.ok(fixtures.host.calls.start(runId, NOW_MS))
      fixtures.gateway.handleFailure({ ...call, runId, deadlineAtMs: NOW_MS + 1 }, { kind: 'lost', reason: 'target-lost', targetDied: true })
      assert.deepEqual(fixtures.events, ['record', 'answer'])
      assert.deepEqual(fixtures.entry.answers[0]?.crashes?.map(crash => crash.nodeId), ['a'])
    })
  })

  test.describe('run of a delegate', () => {
    test.it('adds the crash record of the delegate at the owner and forwards it to the entry node', () => {
      const fixtures = new Fixture()
      fixtures.host.targetReady = false
      fixtures.host.delegate = { nodeId: 'b', address: 'b:1' }
      const call = fixture.call(NOW_MS, { key: fixture.keyAt(NOW_MS) })
      fixtures.gateway.accept(fixtures.entry, call)
      const callId = fixtures.delegate.calls[0]?.callId ?? 0
      const crashes = [{ key: call.key ?? '', fingerprint: call.fingerprint, nodeId: 'b', atMs: NOW_MS, concurrent: 1 }]
      fixtures.gateway.handleDelegateAnswer(fixtures.delegate, {
        kind: 'answer', callId, outcome: 'unknown', reason: 'target-lost', status: 0, headers: {}, body: undefined, last: true, retryAfterMs: 0, load: { inFlight: 0, queued: 0, slots: 2 }, crashes
      })
      assert.ok(fixtures.host.crashes.hasKey(call.key ?? ''))
      assert.deepEqual(fixtures.entry.answers[0]?.crashes, crashes)
    })
  })
})
