import { formatParts } from './part-list.js'
import { AdmissionKind, type Admission } from './prompt-quarantine.js'

/** Why a request may not go to a server, for log lines and for the client. */
export function describeAdmission (admission: Exclude<Admission, { readonly kind: AdmissionKind.Admitted }>): string {
  const parts = formatParts(admission.partIds, ', ')
  return admission.kind === AdmissionKind.Quarantined
    ? `servers ended in a row under requests with prompt part ${parts}; such requests are refused until a probe shows that they run`
    : `a server ended under a request with prompt part ${parts}; another request with it is under way first`
}
