import { expect } from 'chai'

import { createFirstConfig } from '../fuzz/config-fleet.js'
import { acceptSplit, applyDeclaration, ConfigChangeErrorKind, proposeSplit, setDrain } from './config-change.js'
import { listDifferences } from './config-difference.js'
import { redactConfig } from './config-redaction.js'
import { parseDeclaration, type Declaration } from './fleet-config-schema.js'
import type { FleetConfig } from './fleet-config.js'
import { formatProblem } from './schema-problems.js'

const config = createFirstConfig()
const declaration: Declaration = {
  partner: 'alpha',
  teams: [{ name: 'main', weight: 2 }],
  credentials: [],
  operators: [{ name: 'first', sha256Hex: '1'.repeat(64) }],
  groupDowntimeWeight: 1,
  strandedAcceleratorWeight: 1,
  deployments: [],
  services: [{ name: 'prints', timeoutMs: 1000, routes: [{ method: 'GET', path: '/status', isRepeatable: true }] }]
}

function shares (alpha: number, beta: number) {
  return [
    { partner: 'alpha', capacityPercent: alpha, priority: 1 },
    { partner: 'beta', capacityPercent: beta, priority: 1 }
  ]
}

function unwrap (result: ReturnType<typeof setDrain>): FleetConfig {
  if (!result.isOk) throw new Error(result.error.reason)
  return result.value
}

describe('config change', () => {
  describe('declaration', () => {
    it('names each wrong field with what was found and what is allowed', () => {
      const parsed = parseDeclaration({ ...declaration, teams: [{ name: 'main', weigth: 2 }] })
      expect(parsed.isOk ? [] : parsed.error.map(formatProblem)).to.deep.equal([
        'teams[0].weight: found nothing, allowed is a value of type number',
        'teams[0].weigth: found an unknown field, allowed is one of the fields name, weight'
      ])
    })

    it('replaces what the partner owns and nothing else', () => {
      const changed = unwrap(applyDeclaration(config, 'alpha', declaration))
      expect(listDifferences(config, changed).map(difference => difference.path)).to.deep.equal([
        'partners[alpha].operators[first].sha256Hex',
        'partners[alpha].teams[main].weight',
        // The empty list before the change counts as one field.
        'services',
        'services[prints].name',
        'services[prints].partner',
        'services[prints].routes[GET /status].isRepeatable',
        'services[prints].routes[GET /status].method',
        'services[prints].routes[GET /status].path',
        'services[prints].timeoutMs'
      ])
    })

    it('refuses another partner\'s declaration, and a name that another partner has', () => {
      const taken = unwrap(applyDeclaration(config, 'alpha', declaration))
      const outcomes = [
        applyDeclaration(config, 'beta', declaration),
        applyDeclaration(taken, 'beta', { ...declaration, partner: 'beta' })
      ]
      expect(outcomes.map(outcome => outcome.isOk ? undefined : outcome.error.kind))
        .to.deep.equal([ConfigChangeErrorKind.NotOwner, ConfigChangeErrorKind.NotOwner])
    })
  })

  describe('split', () => {
    it('comes into force when every partner has agreed', () => {
      const proposed = unwrap(proposeSplit(config, 'alpha', shares(70, 30), 5))
      expect(proposed.split).to.deep.equal(config.split)
      const accepted = unwrap(acceptSplit(proposed, 'beta', 6))
      expect(accepted.split.shares).to.deep.equal(shares(70, 30))
      expect(accepted.proposal).to.equal(undefined)
      expect(accepted.splitHistory).to.deep.equal([{ version: 2, split: { shares: shares(70, 30) }, acceptedAtMs: 6 }])
    })

    it('must give each partner a share and add up to 100', () => {
      const outcome = proposeSplit(config, 'alpha', [{ partner: 'alpha', capacityPercent: 90, priority: 1 }], 5)
      expect(outcome.isOk ? '' : outcome.error.reason).to.contain('no share of partner "beta"').and.contain('a sum of 90')
    })
  })

  describe('drain', () => {
    it('lasts until each partner that marked the VM has removed its mark', () => {
      const marked = unwrap(setDrain(unwrap(setDrain(config, 'alpha', 'vm-1', true)), 'beta', 'vm-1', true))
      const half = unwrap(setDrain(marked, 'alpha', 'vm-1', false))
      expect(half.drainingVmIds).to.deep.equal(['vm-1'])
      expect(setDrain(half, 'alpha', 'vm-1', false)).to.have.property('isOk', false)
      expect(unwrap(setDrain(half, 'beta', 'vm-1', false)).drainingVmIds).to.deep.equal([])
    })
  })

  describe('redaction', () => {
    it('hides the digests of other partners', () => {
      const shown = redactConfig(config, 'alpha')
      expect(shown.partners.map(partner => partner.operators[0]?.sha256Hex)).to.deep.equal(['0'.repeat(64), 'hidden'])
    })
  })
})
