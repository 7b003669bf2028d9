// Stand-in for the platform's store: a log with topics, as PROTOCOL.md tells it.
import * as http from 'node:http'

const HEAD_BYTES = 16

export class Store {
  topics = new Map()
  waiting = new Set()
  server = http.createServer((request, response) => {
    const parts = []
    request.on('data', part => parts.push(part))
    request.on('end', () => this.answer(new URL(request.url, 'http://store'), Buffer.concat(parts), response))
  })

  async listen (host) {
    await new Promise(resolve => this.server.listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  put (topic, key, value) {
    const name = Buffer.from(key)
    this.topic(topic).push(Buffer.concat([Buffer.of(name.length), name, Buffer.from(value)]))
    this.wake()
  }

  topic (name) {
    if (!this.topics.has(name)) this.topics.set(name, [])
    return this.topics.get(name)
  }

  wake () {
    for (const wake of [...this.waiting]) wake()
  }

  answer (url, body, response) {
    const records = this.topic(url.searchParams.get('topic') ?? '')
    if (url.pathname === '/v1/log-append') {
      const at = url.searchParams.get('at')
      if (at !== null && Number(at) !== records.length) return json(response, 412, { end: records.length })
      const offset = records.length
      for (let pos = 0; pos < body.length;) {
        const end = pos + 4 + body.readUInt32BE(pos)
        records.push(body.subarray(pos + 4, end))
        pos = end
      }
      this.wake()
      return json(response, 200, { offset, end: records.length })
    }
    if (url.pathname === '/v1/log-newest') {
      const newest = new Map()
      records.forEach((content, offset) => {
        const valueAt = 1 + content[0]
        const key = content.toString('utf8', 1, valueAt)
        newest.delete(key)
        if (content.length > valueAt) newest.set(key, { key, value: content.subarray(valueAt).toString('base64'), offset })
      })
      return json(response, 200, { items: [...newest.values()], 'has-more': false, end: records.length })
    }
    if (url.pathname === '/v1/log-read') return this.read(records, Number(url.searchParams.get('from')), Number(url.searchParams.get('wait-ms') ?? 0), response)
    json(response, 404, {})
  }

  read (records, from, waitMs, response) {
    if (from > records.length) return json(response, 410, { 'first-offset': 0 })
    const answer = isLast => {
      if (!isLast && records.length <= from) return
      clearTimeout(timer)
      this.waiting.delete(wake)
      if (response.destroyed) return
      const head = Buffer.alloc(HEAD_BYTES)
      head.writeBigUInt64BE(BigInt(records.length), 0)
      const parts = records.slice(from).flatMap(content => {
        const length = Buffer.alloc(4)
        length.writeUInt32BE(content.length)
        return [length, content]
      })
      response.writeHead(200).end(Buffer.concat([head, ...parts]))
    }
    const timer = setTimeout(() => answer(true), waitMs)
    const wake = () => answer(false)
    this.waiting.add(wake)
    wake()
  }
}

function json (response, status, value) {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }).end(body)
}
