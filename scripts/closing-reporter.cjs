const { reporters, Runner } = require('mocha')

/** Mocha's dot reporter with a last line that states how many tests passed and failed. */
class ClosingReporter extends reporters.Dot {
  constructor (runner, options) {
    super(runner, options)
    runner.once(Runner.constants.EVENT_RUN_END, () => {
      const { passes, failures } = this.stats
      console.log(`${passes} passed, ${failures} failed`)
    })
  }
}

module.exports = ClosingReporter
