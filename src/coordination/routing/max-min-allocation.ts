/** A weighted claim on equal units; it gets at most `demandCount` of them. */
export interface AllocationClaim<Id> {
  readonly id: Id
  readonly weight: number
  readonly demandCount: number
}

/**
 * Allocates whole units by weighted max-min fairness: no claim gets more than its demand, and units
 * that one claim does not need go to the others by weight. Units left over by rounding go to the
 * largest fractions; ties follow the order of the claims.
 */
export function allocateMaxMin<Id> (unitCount: number, claims: ReadonlyArray<AllocationClaim<Id>>): Map<Id, number> {
  const allocated = new Map<Id, number>(claims.map(claim => [claim.id, 0]))
  let remaining = Math.max(0, Math.floor(unitCount))
  let unsatisfied = claims.filter(claim => claim.demandCount > 0 && claim.weight > 0)
  while (unsatisfied.length > 0) {
    const weightSum = sumOf(unsatisfied, claim => claim.weight)
    const unitsPerWeight = remaining / weightSum
    const satisfied = unsatisfied.filter(claim => claim.demandCount <= claim.weight * unitsPerWeight)
    if (satisfied.length === 0) break
    for (const claim of satisfied) allocated.set(claim.id, claim.demandCount)
    remaining -= sumOf(satisfied, claim => claim.demandCount)
    unsatisfied = unsatisfied.filter(claim => !satisfied.includes(claim))
  }
  allocateByLargestRemainder(remaining, unsatisfied, allocated)
  return allocated
}

/** Divides the units by weight among claims whose demand exceeds their weighted share. */
function allocateByLargestRemainder<Id> (unitCount: number, unsatisfied: ReadonlyArray<AllocationClaim<Id>>, allocated: Map<Id, number>): void {
  const weightSum = sumOf(unsatisfied, claim => claim.weight)
  const weightedShares = unsatisfied.map(claim => {
    const exact = unitCount * claim.weight / weightSum
    return { id: claim.id, whole: Math.floor(exact), fraction: exact - Math.floor(exact) }
  })
  let leftoverCount = unitCount - sumOf(weightedShares, weightedShare => weightedShare.whole)
  for (const weightedShare of weightedShares.toSorted((one, other) => other.fraction - one.fraction)) {
    allocated.set(weightedShare.id, weightedShare.whole + (leftoverCount > 0 ? 1 : 0))
    leftoverCount -= 1
  }
}

function sumOf<T> (items: readonly T[], getValue: (item: T) => number): number {
  return items.reduce((sum, item) => sum + getValue(item), 0)
}
