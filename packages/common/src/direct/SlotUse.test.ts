import * as assert from 'node:assert/strict'
import * as slotUse from './SlotUse.js'
import * as test from 'node:test'

// Guards against overload that cannot be told from slots that are free or used for nobody.
test.describe('SlotUse', () => {
  test.it('accounts for the whole time of all slots', () => {
    const use = new slotUse.SlotUse()
    use.setSlots(2, 1_000)
    use.begin(1_100)
    use.begin(1_200)
    use.end('late', 300, 1_400)
    use.end('lost', 300, 1_500)
    assert.deepEqual(use.times(1_600), { 'on-time': 0, late: 300, error: 0, lost: 300, free: 600 })
  })

  test.it('counts no free time while the target takes no calls', () => {
    const use = new slotUse.SlotUse()
    use.setSlots(4, 0)
    use.setSlots(0, 100)
    assert.equal(use.times(10_000).free, 400)
  })
})
