import * as bodyMemory from '../BodyMemory.js'
import * as bufferCollector from '../../BufferCollector.js'
import * as connectionLimits from '../../ConnectionLimits.js'

/** Memory for bodies with the default bound. */
export function newBodies (nowMs = (): number => performance.now()): bodyMemory.BodyMemory {
  return new bodyMemory.BodyMemory({ maxSharedBytes: connectionLimits.DEFAULT_TERMS.maxSharedBodyBytes, collector: new bufferCollector.BufferCollector(() => {}), nowMs })
}
