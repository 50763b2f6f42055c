import type { KindResult } from './scarcity-run.js'

/** Fractions of the requests, and of the worth that they could earn. */
export interface ResultSum {
  readonly inTime: number
  readonly late: number
  readonly refused: number
  readonly worth: number
}

/** Adds up the results of kinds and teams. */
export function sumResults (results: readonly KindResult[]): ResultSum {
  const sumOf = (getValue: (result: KindResult) => number) => results.reduce((sum, result) => sum + getValue(result), 0)
  const requestCount = sumOf(result => result.requestCount)
  return {
    inTime: sumOf(result => result.inTimeCount) / requestCount,
    late: sumOf(result => result.lateCount) / requestCount,
    refused: sumOf(result => result.refusedCount) / requestCount,
    worth: sumOf(result => result.earnedWorth) / sumOf(result => result.possibleWorth)
  }
}
