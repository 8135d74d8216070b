/**
 * Returns the value at a quantile by nearest rank; 0 for an empty list.
 *
 * @example
 * quantile([3, 1, 2], 0.5) // 2
 */
export function quantile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(fraction * sorted.length) - 1))] ?? 0
}

export function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}

export function round (value: number, digits = 2): number {
  return Math.round(value * 10 ** digits) / 10 ** digits
}
