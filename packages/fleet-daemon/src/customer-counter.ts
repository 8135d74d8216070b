import { Counter, type Registry } from 'prom-client'

export interface CustomerCounterOptions<Label extends string> {
  readonly name: string
  readonly help: string
  /** Labels in addition to `customer`; the number of their values must be bounded. */
  readonly labelNames: readonly Label[]
  readonly registry: Registry
}

export interface CustomerCounter<Label extends string> {
  readonly increment: (customer: string, labels: Readonly<Record<Label, string>>, amount?: number) => void
}

/** Customers with series of their own; a deployment may have thousands. */
const NAMED_CUSTOMERS = 20
const OTHER_CUSTOMERS = 'other'

interface Series<Label extends string> {
  readonly labels: Readonly<Record<Label, string>>
  value: number
}

/**
 * Creates a counter by customer with a bounded number of series: the 20 customers with the highest totals
 * since the start of the daemon have their own, all others are added up as `other`. When a customer joins or
 * leaves these 20, its series and `other` change like at a restart of the daemon.
 *
 * @example
 * const requests = createCustomerCounter({ name: 'fuchsiastage_customer_requests_total', help: 'Finished requests', labelNames: ['outcome'], registry })
 * requests.increment('hule930', { outcome: 'delivered' })
 */
export function createCustomerCounter<Label extends string> ({ name, help, labelNames, registry }: CustomerCounterOptions<Label>): CustomerCounter<Label> {
  const customers = new Map<string, { total: number, readonly series: Map<string, Series<Label>> }>()

  const counter = new Counter<string>({
    name,
    help,
    labelNames: ['customer', ...labelNames],
    registers: [registry],
    collect: () => {
      counter.reset()
      const ordered = [...customers].sort(([, one], [, other]) => other.total - one.total)
      ordered.forEach(([customer, { series }], rank) => {
        const label = rank < NAMED_CUSTOMERS ? customer : OTHER_CUSTOMERS
        for (const { labels, value } of series.values()) counter.inc({ ...labels, customer: label }, value)
      })
    }
  })

  return {
    increment: (customer, labels, amount = 1) => {
      const counted = customers.get(customer) ?? { total: 0, series: new Map<string, Series<Label>>() }
      const key = labelNames.map((label) => labels[label]).join('\n')
      const series = counted.series.get(key) ?? { labels, value: 0 }
      series.value += amount
      counted.total += amount
      counted.series.set(key, series)
      customers.set(customer, counted)
    }
  }
}
