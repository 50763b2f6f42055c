/** Status codes of responses (RFC 9110, section 15). HTTP parsers accept any three digits. */

const switchingProtocols = 101
const lowestInformational = 100
const lowestFinal = 200
const highestFinal = 599

/** Whether the status is that of a final response. What arrives with any other one is no HTTP response, unless it is informational. */
export function isFinalStatus (statusCode: number): boolean {
  return statusCode >= lowestFinal && statusCode <= highestFinal
}

/** Whether another response follows. After 101, which no request here asks for, the connection no longer carries HTTP. */
export function isInformationalStatus (statusCode: number): boolean {
  return statusCode >= lowestInformational && statusCode < lowestFinal && statusCode !== switchingProtocols
}
