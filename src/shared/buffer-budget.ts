/** Bounds the bytes that a process keeps for others: bodies, partial events and responses that wait for their readers. */
export interface BufferBudget {
  open (options: BufferAccountOptions): BufferAccount
  getHeldByteCount (): number
  /** Whether more than half of the budget is in use. */
  isTight (): boolean
}

export interface BufferAccountOptions {
  /** Who sent the bytes or does not take them, such as a server. Accounts of one owner count together. */
  readonly owner: string
  /** Gives up what the account holds. The account is closed by then. */
  evict (): void
}

/** The bytes that are kept for one purpose. */
export interface BufferAccount {
  /** Sets how many bytes are held. Returns false when they cannot be: the account is closed then, and was not evicted. */
  resize (byteCount: number): boolean
  /** What the account holds is in use from now on and is not given up. */
  keep (): void
  close (): void
}

export interface BufferBudgetOptions {
  readonly maxByteCount: number
  /** Accounts of at most this size are never given up or refused, so that those who need little go on. */
  readonly smallByteCount: number
  /** Called for each account that is given up, with the bytes that it held. */
  onEvicted (owner: string, byteCount: number): void
}

interface HeldAccount {
  readonly options: BufferAccountOptions
  byteCount: number
  isOpen: boolean
  isKept: boolean
}

/**
 * Creates a budget. When it is used up, the owner that holds most pays: its largest account is given up, until what is needed
 * fits. Owners that hold little are not affected by one that holds much. Small accounts may exceed the limit.
 */
export function createBufferBudget ({ maxByteCount, smallByteCount, onEvicted }: BufferBudgetOptions): BufferBudget {
  /** Accounts that hold bytes, by owner. */
  const accountsByOwner = new Map<string, Set<HeldAccount>>()
  let heldByteCount = 0

  function setByteCount (account: HeldAccount, byteCount: number): void {
    const { owner } = account.options
    heldByteCount += byteCount - account.byteCount
    account.byteCount = byteCount
    const accounts = accountsByOwner.get(owner)
    if (byteCount > 0) {
      if (accounts === undefined) accountsByOwner.set(owner, new Set([account]))
      else accounts.add(account)
    } else if (accounts?.delete(account) === true && accounts.size === 0) {
      accountsByOwner.delete(owner)
    }
  }

  function close (account: HeldAccount): void {
    account.isOpen = false
    setByteCount(account, 0)
  }

  function isUsedUp (): boolean {
    return heldByteCount > maxByteCount
  }

  /** The largest account of the owner that holds most. Only called when the budget is used up. */
  function findLargest (): HeldAccount | undefined {
    let heaviest: HeldAccount[] = []
    for (const accounts of accountsByOwner.values()) {
      const removable = [...accounts].filter(({ byteCount, isKept }) => !isKept && byteCount > smallByteCount)
      if (sum(removable) > sum(heaviest)) heaviest = removable
    }
    return heaviest.reduce<HeldAccount | undefined>((most, account) => most === undefined || account.byteCount > most.byteCount ? account : most, undefined)
  }

  return {
    open (options) {
      const account: HeldAccount = { options, byteCount: 0, isOpen: true, isKept: false }
      return {
        resize (byteCount) {
          if (!account.isOpen) return false
          setByteCount(account, byteCount)
          while (isUsedUp()) {
            const largest = findLargest()
            if (largest === undefined) break
            const evictedByteCount = largest.byteCount
            close(largest)
            onEvicted(largest.options.owner, evictedByteCount)
            if (largest === account) return false
            largest.options.evict()
          }
          return true
        },
        keep () { account.isKept = true },
        close: () => close(account)
      }
    },
    getHeldByteCount: () => heldByteCount,
    isTight: () => heldByteCount > maxByteCount / 2
  }
}

function sum (accounts: Iterable<HeldAccount>): number {
  let byteCount = 0
  for (const account of accounts) byteCount += account.byteCount
  return byteCount
}
