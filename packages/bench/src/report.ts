import * as echarts from 'echarts'
import type { ColdStartFigures, ColdStartResult } from './cold-start/run.js'
import type { StoredResult } from './results.js'
import type { RouteResult } from './route/run.js'

export interface ReportInput {
  readonly coldStart: readonly StoredResult<ColdStartResult>[]
  readonly route: StoredResult<RouteResult> | undefined
}

const WIDTH = 860
const HEIGHT = 380

const escapeHtml = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')

function renderPlot (option: echarts.EChartsCoreOption): string {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({ animation: false, ...option })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

function renderTable (columns: readonly string[], rows: readonly (readonly (string | number)[])[]): string {
  const row = (cells: readonly (string | number)[], tag: string): string => `<tr>${cells.map((cell) => `<${tag}>${escapeHtml(String(cell))}</${tag}>`).join('')}</tr>`
  return `<table>${row(columns, 'th')}${rows.map((cells) => row(cells, 'td')).join('')}</table>`
}

function renderScatterPlot (result: ColdStartResult): string {
  const points: readonly (readonly [string, ColdStartFigures])[] = [['policy', result.policy], ...Object.entries(result.baselines)]
  return renderPlot({
    title: { text: `${result.deployment}: tail cold-start time against idle time` },
    legend: { bottom: 0 },
    grid: { bottom: 80 },
    xAxis: { name: 'idle accelerator hours', nameLocation: 'middle', nameGap: 28, min: 0 },
    yAxis: { name: 'p99 cold-start time, ms', min: 0 },
    series: points.map(([name, { idleAcceleratorHours, p99 }]) => ({ type: 'scatter', name, symbolSize: 14, data: [[idleAcceleratorHours, p99]] }))
  })
}

function renderAblationBars (result: ColdStartResult): string {
  const names = Object.keys(result.ablations)
  const figures = Object.values(result.ablations)
  return renderPlot({
    title: { text: `${result.deployment}: figures with one part disabled, as a ratio to those of the full policy` },
    legend: { bottom: 0 },
    grid: { left: 220, bottom: 50 },
    xAxis: { type: 'value', min: 0 },
    yAxis: { type: 'category', data: names, inverse: true },
    series: [
      { type: 'bar', name: 'p99 cold-start time', data: figures.map(({ p99 }) => p99 / result.policy.p99) },
      { type: 'bar', name: 'idle accelerator hours', data: figures.map(({ idleAcceleratorHours }) => idleAcceleratorHours / result.policy.idleAcceleratorHours) }
    ]
  })
}

const COLUMNS = ['', 'p50 ms', 'p95 ms', 'p99 ms', 'max ms', 'idle accelerator hours', 'refused', 'requests'] as const

const figuresRow = (name: string, figures: ColdStartFigures): readonly (string | number)[] =>
  [name, figures.p50, figures.p95, figures.p99, figures.max, figures.idleAcceleratorHours, figures.refused, figures.requests]

function renderColdStartSection ({ result, commit }: StoredResult<ColdStartResult>): string {
  return [
    `<h2>Cold starts: ${escapeHtml(result.deployment)}</h2>`,
    `<p>Seeds ${result.seeds.join(', ')}, commit ${escapeHtml(commit)}, weights ${result.weights.coldStart} (cold start) and ${result.weights.idle} (idle).</p>`,
    renderScatterPlot(result),
    renderTable(COLUMNS, [figuresRow('policy', result.policy), ...Object.entries(result.baselines).map(([name, figures]) => figuresRow(name, figures))]),
    Object.keys(result.ablations).length === 0 ? '' : renderAblationBars(result) + renderTable(COLUMNS, Object.entries(result.ablations).map(([name, figures]) => figuresRow(`without ${name}`, figures))),
    renderTable(['caller', 'requests', 'refused'], Object.entries(result.policy.byCaller).map(([caller, { requests, refused }]) => [caller, requests, refused]))
  ].join('\n')
}

function renderRouteSection ({ result, commit }: StoredResult<RouteResult>): string {
  const cases = Object.keys(result.cases) as (keyof RouteResult['cases'])[]
  const strategies = Object.keys(result.cases.steady) as (keyof RouteResult['cases']['steady'])[]
  const renderBars = (title: string, select: 'firstTokenP95' | 'betweenTokensP95'): string => renderPlot({
    title: { text: title },
    legend: { bottom: 0 },
    xAxis: { type: 'category', data: cases },
    yAxis: { name: 'ms', min: 0 },
    series: strategies.map((strategy) => ({ type: 'bar', name: strategy, data: cases.map((routeCase) => result.cases[routeCase][strategy][select]) }))
  })
  return [
    '<h2>Target selection</h2>',
    `<p>Seed ${result.seed}, commit ${escapeHtml(commit)}.</p>`,
    renderBars('Time to first token, p95', 'firstTokenP95'),
    renderBars('Time between tokens, p95', 'betweenTokensP95'),
    renderTable(['case', 'strategy', 'first token p95 ms', 'between tokens p95 ms', 'refused urgent', 'refused normal', 'refused bulk', 'busy responses'],
      cases.flatMap((routeCase) => strategies.map((strategy) => {
        const { firstTokenP95, betweenTokensP95, refused, busyAnswers } = result.cases[routeCase][strategy]
        return [routeCase, strategy, firstTokenP95, betweenTokensP95, refused.urgent, refused.normal, refused.bulk, busyAnswers]
      }))),
    '<h3>Cost of one decision</h3>',
    renderTable(['targets', 'lookups (mean)', 'lookups (maximum)', 'median µs, real time'], result.decisions.map(({ targets, lookups, maximumLookups, medianMicroseconds }) => [targets, lookups, maximumLookups, medianMicroseconds]))
  ].join('\n')
}

/**
 * Creates one self-contained HTML page, without references to other files.
 *
 * @example
 * const html = createReport({ coldStart: [], route: readResult('route') })
 */
export function createReport ({ coldStart, route }: ReportInput): string {
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>fuchsiastage benchmarks</title>
<style>body{font-family:sans-serif;max-width:900px;margin:2em auto}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}td:first-child,th:first-child{text-align:left}</style>
</head><body><h1>fuchsiastage benchmarks</h1>
<p>Times and counts are measured on a fake clock unless marked as real time. The cold-start time is how long the first requests of a burst wait for a replica; it is 0 when one is loaded. A refused request counts with its whole deadline.</p>
${coldStart.length === 0 ? '<p>No result of <code>bench cold-start</code>.</p>' : coldStart.map(renderColdStartSection).join('\n')}
${route === undefined ? '<p>No result of <code>bench route</code>.</p>' : renderRouteSection(route)}
</body></html>
`
}
