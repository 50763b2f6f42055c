import { expect } from 'chai'

import { decodeDeliveryMessage, DeliveryMessageKind, encodeDeliveryMessage, type DeliveryMessage } from './delivery-messages.js'
import { decodeLoadReport } from './relay-messages.js'

const inquiry: DeliveryMessage = { kind: DeliveryMessageKind.Inquiry, nodeId: 'n1', inquiryId: 3, replicaId: 'm.1/1', sinceMs: 120.5 }

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
    const { replicaId: _, ...partial } = inquiry
    for (const text of ['', 'x', '{}', '[]', '{"kind":"other"}', JSON.stringify(partial), JSON.stringify({ ...inquiry, sinceMs: -1 })]) {
      expect(decodeDeliveryMessage(text), text).to.equal(undefined)
    }
  })
})
