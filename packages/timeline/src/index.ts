/**
 * Merges the JSON log lines of all processes into one ordered timeline, and filters it by request.
 */
export { mergeTimeline } from './merge-timeline.js'
export type { MergedTimeline } from './merge-timeline.js'
export { filterByRequest } from './filter-timeline.js'
export { formatIgnored, formatTimeline } from './format-timeline.js'
export type { IgnoredLine, TimelineEntry, TimelineFile } from './timeline-entry.js'
