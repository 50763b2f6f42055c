/** One party's claim on a number of equal units. */
export interface FairClaim<Id> {
  readonly id: Id
  readonly weight: number
  readonly demandCount: number
}

/**
 * Divides whole units by weighted max-min: nobody gets more than its demand, and what one party
 * leaves goes to the others by weight. Units that rounding leaves over go to the largest
 * fractions, at equal fractions in the order of the claims.
 */
export function fillFairly<Id> (unitCount: number, claims: ReadonlyArray<FairClaim<Id>>): Map<Id, number> {
  const filled = new Map<Id, number>(claims.map(claim => [claim.id, 0]))
  let remaining = Math.max(0, Math.floor(unitCount))
  let open = claims.filter(claim => claim.demandCount > 0 && claim.weight > 0)
  while (open.length > 0) {
    const weightSum = sumOf(open, claim => claim.weight)
    const unitsPerWeight = remaining / weightSum
    const satisfied = open.filter(claim => claim.demandCount <= claim.weight * unitsPerWeight)
    if (satisfied.length === 0) break
    for (const claim of satisfied) filled.set(claim.id, claim.demandCount)
    remaining -= sumOf(satisfied, claim => claim.demandCount)
    open = open.filter(claim => !satisfied.includes(claim))
  }
  fillByFraction(remaining, open, filled)
  return filled
}

/** Gives each open claim its part of the units, none of which covers its demand. */
function fillByFraction<Id> (unitCount: number, open: ReadonlyArray<FairClaim<Id>>, filled: Map<Id, number>): void {
  const weightSum = sumOf(open, claim => claim.weight)
  const parts = open.map(claim => {
    const exact = unitCount * claim.weight / weightSum
    return { id: claim.id, whole: Math.floor(exact), fraction: exact - Math.floor(exact) }
  })
  let left = unitCount - sumOf(parts, part => part.whole)
  for (const part of parts.toSorted((one, other) => other.fraction - one.fraction)) {
    filled.set(part.id, part.whole + (left > 0 ? 1 : 0))
    left -= 1
  }
}

function sumOf<T> (items: readonly T[], getValue: (item: T) => number): number {
  return items.reduce((sum, item) => sum + getValue(item), 0)
}
