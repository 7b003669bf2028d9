import type * as types from './convergenceTypes.js'

const WIDTH = 720
const HEIGHT = 420
const LEFT = 70
const TOP = 40
const PLOT_WIDTH = 460
const PLOT_HEIGHT = 320
const MIN_MS = 1
const MAX_MS = 100_000
const COLORS: Readonly<Record<types.BenchStrategy, string>> = {
  tree: '#1b6ca8',
  gossip: '#b8860b',
  hybrid: '#2e7d32',
  'hybrid-bytes': '#7b1fa2',
  'every-node-polls': '#757575'
}
const DASHES: readonly string[] = ['', '6 3', '2 3']

/** Plots the time until the last node enforces a version against the fleet size, on logarithmic axes. */
export class ConvergencePlot {
  private readonly _sizes: readonly number[]

  constructor (private readonly _results: readonly types.CaseResult[]) {
    this._sizes = [...new Set(_results.map(result => result.size))].sort((a, b) => a - b)
  }

  public render (): string {
    return [
      `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
      `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
      `<text x="${LEFT}" y="22" font-size="14">Time until the last live node enforces a version (ms)</text>`,
      ...this._axes(),
      ...this._lines(),
      '</svg>',
      ''
    ].join('\n')
  }

  private _axes (): string[] {
    const parts: string[] = []
    for (let ms = MIN_MS; ms <= MAX_MS; ms *= 10) {
      parts.push(`<line x1="${LEFT}" x2="${LEFT + PLOT_WIDTH}" y1="${this._y(ms)}" y2="${this._y(ms)}" stroke="#ddd"/>`)
      parts.push(`<text x="${LEFT - 8}" y="${this._y(ms) + 4}" text-anchor="end">${ms.toLocaleString('en-US')}</text>`)
    }
    for (const size of this._sizes) {
      parts.push(`<text x="${this._x(size)}" y="${TOP + PLOT_HEIGHT + 20}" text-anchor="middle">${size.toLocaleString('en-US')}</text>`)
    }
    parts.push(`<text x="${LEFT + PLOT_WIDTH / 2}" y="${TOP + PLOT_HEIGHT + 42}" text-anchor="middle">nodes</text>`)
    return parts
  }

  private _lines (): string[] {
    const parts: string[] = []
    let legendY = TOP + 10
    for (const strategy of new Set(this._results.map(result => result.strategy))) {
      const results = this._results.filter(result => result.strategy === strategy)
      const ratios = [...new Set(results.flatMap(result => result.convergence.map(figures => figures.deadRatio)))]
      for (const [index, ratio] of ratios.entries()) {
        const style = `stroke="${COLORS[strategy]}" stroke-dasharray="${DASHES[index % DASHES.length] ?? ''}"`
        const points = results.flatMap(result => this._point(result, ratio))
        parts.push(`<polyline fill="none" stroke-width="1.5" ${style} points="${points.join(' ')}"/>`)
        parts.push(`<line x1="${LEFT + PLOT_WIDTH + 15}" x2="${LEFT + PLOT_WIDTH + 45}" y1="${legendY}" y2="${legendY}" stroke-width="1.5" ${style}/>`)
        parts.push(`<text x="${LEFT + PLOT_WIDTH + 50}" y="${legendY + 4}">${strategy}, ${ratio * 100} % dead</text>`)
        legendY += 18
      }
    }
    return parts
  }

  private _point (result: types.CaseResult, ratio: number): string[] {
    const lastMs = result.convergence.find(figures => figures.deadRatio === ratio)?.lastMs
    return lastMs === undefined ? [] : [`${this._x(result.size)},${this._y(Math.max(MIN_MS, lastMs))}`]
  }

  private _x (size: number): number {
    const [first = 1] = this._sizes
    const last = this._sizes.at(-1) ?? first
    const span = Math.log(last / first) || 1
    return Math.round(LEFT + 20 + (PLOT_WIDTH - 40) * Math.log(size / first) / span)
  }

  private _y (ms: number): number {
    return Math.round(TOP + PLOT_HEIGHT * (1 - Math.log10(ms / MIN_MS) / Math.log10(MAX_MS / MIN_MS)))
  }
}
