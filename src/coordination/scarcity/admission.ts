import { allocateMaxMin } from '../routing/max-min-allocation.js'
import { parseClassKey, type CallClass, type ClassUse, type ModelUses } from './class-uses.js'

/** For whom a call of a scarce model is refused. The values are logged. */
export enum AdmissionLimit {
  None = 'none',
  /** More urgent calls take the room. */
  Priority = 'priority',
  /** The call's team asks for more than its share. */
  Team = 'team',
  /** Calls of this priority alone ask for more than the replicas can begin in time. */
  Room = 'room'
}

/** The fraction of a class's calls that is admitted now. */
export interface Admission {
  readonly fraction: number
  readonly limit: AdmissionLimit
}

/** Every class gets at least this fraction of the room, so that none stops altogether. */
const minClassFraction = 0.05
/** Shares are divided in hundredths of a slot. */
const unitsPerSlot = 100

interface UsedClass extends ClassUse {
  readonly callClass: CallClass
}

function listClasses (uses: ModelUses): UsedClass[] {
  return [...uses].flatMap(([classKey, use]) => {
    const callClass = parseClassKey(classKey)
    return callClass === undefined ? [] : [{ callClass, ...use }]
  })
}

/**
 * Divides the room of a model, the number of slots that new streams may take up if they kept coming at the same rate, among the
 * classes that ask for it: first to more urgent priorities, then to the teams of one priority by max-min fairness. All gateways
 * reckon with the same sums, so that together they admit as much as there is room for.
 */
export function computeAdmission (callClass: CallClass, uses: ModelUses, roomSlotCount: number): Admission {
  const classes = listClasses(uses)
  const sumOf = (list: readonly UsedClass[]) => list.reduce((sum, use) => sum + use.offeredSlotCount, 0)
  const peers = classes.filter(other => other.callClass.priority === callClass.priority)
  const own = sumOf(peers.filter(other => other.callClass.teamName === callClass.teamName))
  if (own === 0) return { fraction: 1, limit: AdmissionLimit.None }
  const urgent = sumOf(classes.filter(other => other.callClass.priority < callClass.priority))
  const leftSlotCount = Math.max(roomSlotCount - urgent, roomSlotCount * minClassFraction)
  const teamNames = [...new Set(peers.map(other => other.callClass.teamName))]
  const shares = allocateMaxMin(leftSlotCount * unitsPerSlot, teamNames.map(id => ({
    id, weight: 1, demandCount: sumOf(peers.filter(other => other.callClass.teamName === id)) * unitsPerSlot
  })))
  const fraction = Math.min(1, (shares.get(callClass.teamName) ?? 0) / unitsPerSlot / own)
  if (fraction >= 1) return { fraction, limit: AdmissionLimit.None }
  if (roomSlotCount - urgent < roomSlotCount * (1 - minClassFraction)) return { fraction, limit: AdmissionLimit.Priority }
  return { fraction, limit: teamNames.length > 1 && own > leftSlotCount / teamNames.length ? AdmissionLimit.Team : AdmissionLimit.Room }
}

/** The objectives of the classes that are as urgent as the call or more, and not rare. Its own is one of them. */
export function listObjectivesMs (uses: ModelUses, callClass: CallClass): number[] {
  const urgent = listClasses(uses).filter(other => other.callClass.priority <= callClass.priority)
  const offered = urgent.reduce((sum, use) => sum + use.offeredSlotCount, 0)
  const common = urgent.filter(other => other.offeredSlotCount > offered * minClassFraction)
  return [...new Set([callClass.objectiveMs, ...common.map(other => other.callClass.objectiveMs)])]
}
