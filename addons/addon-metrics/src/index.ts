export * as metricsAddon from './MetricsAddon.js'
export * as directMetrics from './DirectMetrics.js'
