import { runAdmissionFuzz } from './admission/admission-area.js'
import type { FuzzOptions, FuzzReport } from './command-fuzz.js'
import { runConfigFuzz } from './config-area.js'
import { runGroupsFuzz } from './groups-area.js'
import { runMembershipFuzz } from './membership-fuzz.js'
import { runOrdersFuzz } from './orders-fuzz.js'
import { runRelayFuzz } from './relay-fuzz.js'
import { runStreamsFuzz } from './streams-area.js'
import { runTransportFuzz } from './transport-fuzz.js'

/** The fuzz areas, by the name that `egretpaddle-fuzz` takes as its argument. */
export const fuzzAreas: Record<string, (options: FuzzOptions) => Promise<FuzzReport>> = {
  config: runConfigFuzz,
  groups: options => runGroupsFuzz(options),
  membership: runMembershipFuzz,
  orders: runOrdersFuzz,
  relay: runRelayFuzz,
  streams: options => runStreamsFuzz(options),
  transport: runTransportFuzz,
  admission: options => runAdmissionFuzz(options)
}
