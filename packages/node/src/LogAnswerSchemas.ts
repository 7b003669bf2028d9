/** JSON Schemas of the log service's answers. After a change run `npm run generate`. */
const OFFSET = { type: 'integer', minimum: 0 }
const PAGE = {
  type: 'object',
  required: ['records', 'firstOffset', 'nextOffset'],
  properties: {
    records: {
      type: 'array',
      items: { type: 'object', required: ['offset', 'data'], properties: { offset: OFFSET, data: true } }
    },
    firstOffset: OFFSET,
    nextOffset: OFFSET,
    retentionMs: { type: 'number', minimum: 0 }
  }
}
const APPENDED = { type: 'object', required: ['offset'], properties: { offset: OFFSET } }

export const LOG_ANSWER_SCHEMAS = { page: PAGE, appended: APPENDED }
