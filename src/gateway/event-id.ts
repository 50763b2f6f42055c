/** IDs of the events of a stream: whole numbers that increase. */

/** An ID is sent on in a header when its stream is resumed, so that its length is bounded. Numbers of 128 bits have up to 39 digits. */
const maxDigitCount = 39
const digitsPattern = /^\d+$/

export function isEventId (text: string): boolean {
  return text.length <= maxDigitCount && digitsPattern.test(text)
}

/** Whether an event's ID is above that of an event before it. The numbers may be larger than a double holds exactly. */
export function isEventIdAfter (id: string, formerId: string): boolean {
  const digits = stripLeadingZeros(id)
  const formerDigits = stripLeadingZeros(formerId)
  return digits.length === formerDigits.length ? digits > formerDigits : digits.length > formerDigits.length
}

function stripLeadingZeros (digits: string): string {
  return digits.replace(/^0+/, '')
}
