/** Shared primitive types of the decision core. */

/** Milliseconds since the Unix epoch, or a duration in milliseconds, as the field name says. */
export type Millis = number

/** Identifier of a node; unique per VM and stable across restarts. */
export type NodeId = string

/** Number of a process start of a node. A restart at the same address uses a higher number. */
export type Incarnation = number

/** Something that holds resources until it is disposed. */
export interface IDisposable {
  dispose(): void
}

/** Source of the current time in milliseconds. */
export interface IClock {
  nowMs(): Millis
}

/** Source of randomness. Decisions never use a global generator, so that runs can be replayed. */
export interface IRandom {
  /** Uniform integer in `[0, bound)`. */
  nextInt(bound: number): number
  /** Uniform number in `[0, 1)`. */
  nextFloat(): number
}

/** Subscribes a listener and returns its subscription. */
export type IEvent<T> = (listener: (value: T) => void) => IDisposable
