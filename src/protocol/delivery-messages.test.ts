import { expect } from 'chai'

import { decodeDeliveryMessage, DeliveryMessageKind, encodeDeliveryMessage, type DeliveryMessage } from './delivery-messages.js'
import { decodeLoadReport } from './relay-messages.js'

const item = { inquiryId: 3, replicaId: 'm.1/1', sinceMs: 120.5 }
const inquiry: DeliveryMessage = { kind: DeliveryMessageKind.Inquiry, nodeId: 'n1', inquiries: [item] }

describe('delivery messages', () => {
  it('are decoded as they were encoded', () => {
    expect(decodeDeliveryMessage(encodeDeliveryMessage(inquiry))).to.deep.equal(inquiry)
  })

  it('with fields of a later release are decoded without these', () => {
    expect(decodeDeliveryMessage(JSON.stringify({ ...inquiry, later: 1 }))).to.deep.equal(inquiry)
  })

  it('are no load report for a gateway of an earlier release', () => {
    expect(decodeLoadReport(encodeDeliveryMessage(inquiry))).to.equal(undefined)
  })

  it('are not decoded from other content', () => {
    const { replicaId: _, ...partial } = item
    const wrong = [partial, { ...item, sinceMs: -1 }].map(wrongItem => JSON.stringify({ ...inquiry, inquiries: [wrongItem] }))
    for (const text of ['', 'x', '{}', '[]', '{"kind":"other"}', ...wrong]) {
      expect(decodeDeliveryMessage(text), text).to.equal(undefined)
    }
  })
})
