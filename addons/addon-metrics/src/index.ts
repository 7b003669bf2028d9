export * as metricsAddon from './MetricsAddon.js'
