import type * as base from '@elmpost/common/base/Types.js'
import type * as messages from '@elmpost/common/node/Messages.js'
import type * as services from './Services.js'
import type * as types from './Types.js'

/** The link of a node to itself. Delivers messages without encoding and without a socket. */
export class LocalLink implements services.IPeerLink {
  public readonly runs = new Map<number, number>()

  constructor (public readonly nodeId: base.NodeId, private readonly _receiver: Pick<services.ILinkReceiver, 'handleMessage'>) {}

  public sendCall (call: messages.CallMessage): types.SendStatus {
    this._receiver.handleMessage(this, call)
    return 'sent'
  }

  public release (): void {}

  public send (message: messages.PeerMessage): boolean {
    this._receiver.handleMessage(this, message)
    return true
  }
}
