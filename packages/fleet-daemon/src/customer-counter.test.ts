import test from 'ava'
import { Registry } from 'prom-client'
import { createCustomerCounter } from './customer-counter.js'

test('a thousand customers have a bounded number of series, and no request is lost from their sum', async (t) => {
  const registry = new Registry()
  const counter = createCustomerCounter({ name: 'requests', help: 'requests', labelNames: ['outcome'], registry })
  for (let customer = 1; customer <= 1_000; customer++) counter.increment(`c${customer}`, { outcome: 'delivered' }, customer)
  for (let round = 0; round < 2; round++) {
    const { values } = await registry.getSingleMetric('requests')?.get() ?? { values: [] }
    t.deepEqual(values.map(({ labels }) => labels.customer).sort(), [...Array.from({ length: 20 }, (_, index) => `c${1_000 - index}`), 'other'].sort())
    t.is(values.reduce((sum, { value }) => sum + value, 0), 500_500)
  }
})
