import { z } from 'zod'

import { MalformedBodyError, ok, type JsonRoute } from './json-server.js'

/** Validates a JSON body with a schema; throws `MalformedBodyError`, which the server turns into status 400. */
export function parseBody<T> (schema: z.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body)
  if (parsed.success) return parsed.data
  throw new MalformedBodyError(z.prettifyError(parsed.error))
}

/** Returns the routes that show and change the faults of a running stand-in. A strict schema rejects unknown fields. */
export function createFaultRoutes<T extends object> (schema: z.ZodType<Partial<T>>, faults: T, onChange: () => void = () => {}): JsonRoute[] {
  return [
    { method: 'GET', pattern: /^\/faults$/, handle: () => ok(faults) },
    {
      method: 'POST',
      pattern: /^\/faults$/,
      handle (call) {
        Object.assign(faults, parseBody(schema, call.readJson()))
        onChange()
        return ok(faults)
      }
    }
  ]
}
