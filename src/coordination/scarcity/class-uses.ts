import type { TimerService } from '../../shared/timer-service.js'

/** What a class of calls asked for lately, as a mean number of slots. */
export interface ClassUse {
  readonly offeredSlotCount: number
}

/** The uses of a model's slots by class. */
export type ModelUses = ReadonlyMap<string, ClassUse>

/** The numbers of slots that classes asked for, by model and class, as reports carry them. */
export type ReportedUses = Readonly<Record<string, Readonly<Record<string, number>>>>

/** Calls of one priority, objective and team, which are served alike. */
export interface CallClass {
  /** 0 is the most urgent. */
  readonly priority: number
  readonly objectiveMs: number
  /** Undefined for calls without a team. */
  readonly teamName: string | undefined
}

/** Uses of slots by the calls of this gateway. */
export interface ClassUses {
  /** Records a call that arrived, and the time for which it would hold a slot. */
  recordOffered (modelKey: string, callClass: CallClass, slotTimeMs: number): void
  createReport (): ReportedUses
}

interface DecayingUse {
  offeredMs: number
  decayedAtMs: number
}

/** Uses are remembered for about this time: some times as long as a stream, and shorter than the waves of demand of 15 s. */
const windowMs = 4000
/** A class with less use than this is forgotten. */
const minReportedSlotCount = 0.01
const reportedPrecision = 100
/** Bounds the size of a report, which is a datagram. Further classes are left out, the ones with the least demand first. */
const maxReportedClassCount = 40

/** Names the class in reports. */
export function formatClassKey ({ priority, objectiveMs, teamName }: CallClass): string {
  return [priority, objectiveMs, ...teamName === undefined ? [] : [teamName]].join('/')
}

/** Reads the class from its key; undefined for a key that is none. */
export function parseClassKey (classKey: string): CallClass | undefined {
  const [priorityText = '', objectiveText = '', ...nameParts] = classKey.split('/')
  const [priority, objectiveMs] = [Number(priorityText || NaN), Number(objectiveText || NaN)]
  if (!Number.isFinite(priority) || !Number.isFinite(objectiveMs)) return undefined
  return { priority, objectiveMs, teamName: nameParts.length === 0 ? undefined : nameParts.join('/') }
}

/** Creates the record without uses. */
export function createClassUses (timers: TimerService): ClassUses {
  const models = new Map<string, Map<string, DecayingUse>>()

  function decay (use: DecayingUse): void {
    const factor = Math.exp((use.decayedAtMs - timers.nowMs()) / windowMs)
    use.offeredMs *= factor
    use.decayedAtMs = timers.nowMs()
  }

  function findOrAdd (modelKey: string, callClass: CallClass): DecayingUse {
    const classes = models.get(modelKey) ?? new Map<string, DecayingUse>()
    models.set(modelKey, classes)
    const classKey = formatClassKey(callClass)
    const use = classes.get(classKey) ?? { offeredMs: 0, decayedAtMs: timers.nowMs() }
    classes.set(classKey, use)
    decay(use)
    return use
  }

  function listUses (): Array<{ modelKey: string, classKey: string, offered: number }> {
    const uses = []
    for (const [modelKey, classes] of models) {
      for (const [classKey, use] of classes) {
        decay(use)
        const offered = use.offeredMs / windowMs
        if (offered < minReportedSlotCount) classes.delete(classKey)
        else uses.push({ modelKey, classKey, offered })
      }
      if (classes.size === 0) models.delete(modelKey)
    }
    return uses.sort((left, right) => right.offered - left.offered).slice(0, maxReportedClassCount)
  }

  const round = (value: number) => Math.round(value * reportedPrecision) / reportedPrecision
  return {
    recordOffered (modelKey, callClass, slotTimeMs) {
      findOrAdd(modelKey, callClass).offeredMs += slotTimeMs
    },
    createReport () {
      const report = new Map<string, Array<[string, number]>>()
      for (const { modelKey, classKey, offered } of listUses()) {
        report.set(modelKey, [...report.get(modelKey) ?? [], [classKey, round(offered)]])
      }
      return Object.fromEntries([...report].map(([modelKey, classes]) => [modelKey, Object.fromEntries(classes)]))
    }
  }
}

/** Adds up reported uses. */
export function sumReportedUses (reports: ReadonlyArray<ReportedUses | undefined>): ReportedUses {
  const modelKeys = new Set(reports.flatMap(report => Object.keys(report ?? {})))
  return Object.fromEntries([...modelKeys].map(modelKey => {
    const classes = [...sumModelUses(reports, modelKey)]
    return [modelKey, Object.fromEntries(classes.map(([classKey, use]) => [classKey, use.offeredSlotCount]))]
  }))
}

/** Adds up the reported uses of one model. */
export function sumModelUses (reports: ReadonlyArray<ReportedUses | undefined>, modelKey: string): ModelUses {
  const sums = new Map<string, ClassUse>()
  for (const report of reports) {
    for (const [classKey, offered] of Object.entries(report?.[modelKey] ?? {})) {
      sums.set(classKey, { offeredSlotCount: (sums.get(classKey)?.offeredSlotCount ?? 0) + offered })
    }
  }
  return sums
}
