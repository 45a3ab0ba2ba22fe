#!/usr/bin/env node
/**
 * The developers' program: runs whole deployments against stand-ins and checks what was observed from
 * outside. Exit code 1 when a rule was broken, 2 for a name it does not know.
 */
import '../common/checkNode.js'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { command, flag, number, option, optional, positional, string, subcommands } from 'cmd-ts'
import { runCommand } from '../common/runCommand.js'
import { Mechanism } from '../common/Mechanism.js'
import { ablate } from './ablate.js'
import { ablationScenes } from './ablationScenes.js'
import { compare } from './compare.js'
import { Deployment } from './Deployment.js'
import { explore } from './explorer/explore.js'
import { generateSchedule } from './explorer/generateSchedule.js'
import { shrinkSchedule } from './explorer/shrinkSchedule.js'
import { runFleet } from './runFleet.js'
import { SimFault } from './SimFault.js'
import { scale } from './scale.js'
import { simFaults } from './simFaults.js'
import { slopes } from './slopes.js'
import { runBursts } from './bursts/runBursts.js'
import { loadDialect } from './soak/loadDialect.js'
import { readSeeds } from './soak/readSeeds.js'
import { soakJudges } from './soak/soakJudges.js'
import { soakSizes } from './soak/soakSizes.js'
import { troubleKinds } from './soak/troubleKinds.js'
import { soak } from './soak/soak.js'
import type { SoakSize } from './soak/SoakSize.js'
import { sweep } from './sweep.js'

const say = (line: string) => {
  process.stdout.write(`${line}\n`)
}
process.stdout.on('error', () => {
  process.exit(1)
})
const unknown = (what: string, known: readonly string[]) => {
  process.stderr.write(`simulator: ${what}; known are: ${known.join(', ')}\n`)
  process.exitCode = 2
}

const fleet = command({
  name: 'fleet',
  description: 'Runs a deployment as real processes on loopback and checks its invariants.',
  args: {
    deployment: positional({ type: string, displayName: 'deployment' }),
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 30, description: 'how long to drive traffic, at most 600' }),
    faults: option({
      long: 'faults',
      type: string,
      defaultValue: () => '',
      description: `comma-separated: ${runFleet.faults.join(', ')}, or all`,
    }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
    safety: flag({ long: 'safety', description: 'bounds of time are told, but only safety rules decide: for machines that may be slow' }),
    noVisitors: flag({ long: 'no-visitors', description: 'every request that no caller of the run sent breaks the rule stray' }),
    folder: option({ long: 'folder', type: optional(string), description: 'where startup files, logs and data go' }),
  },
  handler: async (given) => {
    const deployment = Deployment.of(given.deployment)
    const faults = given.faults === 'all' ? runFleet.faults : given.faults === '' ? [] : given.faults.split(',')
    const strange = faults.find((one) => !runFleet.faults.includes(one))
    if (deployment === undefined) unknown(`no deployment is named ${given.deployment}`, Deployment.names)
    else if (strange !== undefined) unknown(`no fault is named ${strange}`, runFleet.faults)
    else {
      const folder = given.folder ?? (await mkdtemp(join(tmpdir(), 'simulator-')))
      say(`startup files, logs and data: ${folder}`)
      const passes = await runFleet.run({
        deployment,
        folder,
        seconds: Math.min(given.seconds, 600),
        faults,
        seed: given.seed,
        safety: given.safety,
        visitors: !given.noVisitors,
        say,
      })
      process.exitCode = passes ? 0 : 1
    }
  },
})
const sim = command({
  name: 'sim',
  description: 'Runs a deployment under virtual time, one run a seed, and checks each.',
  args: {
    deployment: positional({ type: string, displayName: 'deployment' }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1, description: 'the first seed' }),
    seeds: option({ long: 'seeds', type: number, defaultValue: () => 1, description: 'how many seeds' }),
    faults: option({
      long: 'faults',
      type: string,
      defaultValue: () => '',
      description: `comma-separated: ${Object.keys(simFaults).join(', ')}; or each, or pairs, or storm, or a storm's own text`,
    }),
    together: flag({ long: 'together', description: 'all the faults at once instead of one after another' }),
    faultMs: option({ long: 'fault-ms', type: number, defaultValue: () => 4000, description: 'how long each fault lasts' }),
    calmMs: option({ long: 'calm-ms', type: number, defaultValue: () => 6000, description: 'how long it is calm before the first fault' }),
    broken: option({ long: 'broken', type: string, defaultValue: () => '', description: 'a rule to break on purpose' }),
  },
  handler: (given) => {
    const deployment = Deployment.of(given.deployment)
    const names = Object.keys(simFaults)
    const strange = ['', 'each', 'pairs', 'storm'].includes(given.faults)
      ? undefined
      : (SimFault.read(given.faults)?.map((one) => one.name) ?? given.faults.split(',')).find((one) => !names.includes(one))
    if (deployment === undefined) unknown(`no deployment is named ${given.deployment}`, Deployment.names)
    else if (strange !== undefined) unknown(`no fault is named ${strange}`, names)
    else if (!sweep({ ...given, deployment, say })) process.exitCode = 1
  },
})
const versus = command({
  name: 'compare',
  description: 'The same seeded arrivals under iWS-BFE and under plain LRU.',
  args: {
    deployment: positional({ type: string, displayName: 'deployment' }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1 }),
    seeds: option({ long: 'seeds', type: number, defaultValue: () => 1 }),
    minutes: option({ long: 'minutes', type: number, defaultValue: () => 10, description: 'virtual minutes' }),
  },
  handler: (given) => {
    const deployment = Deployment.of(given.deployment)
    if (deployment === undefined) unknown(`no deployment is named ${given.deployment}`, Deployment.names)
    else
      compare(
        deployment,
        Array.from({ length: given.seeds }, (_, at) => given.seed + at),
        given.minutes,
        say,
      )
  },
})
const ablation = command({
  name: 'ablate',
  description: 'What each mechanism of placement and routing is worth: the same seeded scenes with all of them and without one.',
  args: {
    seeds: option({ long: 'seeds', type: string, defaultValue: () => '1..3', description: 'as 7, or 1..20, or 3,5..8' }),
    scenes: option({
      long: 'scenes',
      type: string,
      defaultValue: () => '',
      description: `comma-separated: ${Object.keys(ablationScenes).join(', ')}`,
    }),
    mechanisms: option({
      long: 'mechanisms',
      type: string,
      defaultValue: () => '',
      description: `comma-separated: ${Mechanism.options.join(', ')}`,
    }),
  },
  handler: (given) => {
    const seeds = readSeeds(given.seeds)
    const scenes = given.scenes === '' ? Object.keys(ablationScenes) : given.scenes.split(',')
    const strangeScene = scenes.find((one) => ablationScenes[one] === undefined)
    const named = given.mechanisms === '' ? Mechanism.options : given.mechanisms.split(',')
    const strange = named.find((one) => !Mechanism.safeParse(one).success)
    if (seeds === undefined) unknown(`${given.seeds}: not seeds`, ['7', '1..20', '3,5..8'])
    else if (strangeScene !== undefined) unknown(`no scene is named ${strangeScene}`, Object.keys(ablationScenes))
    else if (strange !== undefined) unknown(`no mechanism is named ${strange}`, Mechanism.options)
    else ablate(seeds, scenes, Mechanism.array().parse(named), say)
  },
})
const scaled = command({
  name: 'scale',
  description: 'What the control plane costs as the system grows, without traffic.',
  args: {
    deployment: positional({ type: string, displayName: 'deployment' }),
    factors: option({ long: 'factors', type: string, defaultValue: () => '1,3,10', description: 'comma-separated' }),
  },
  handler: (given) => {
    const deployment = Deployment.of(given.deployment)
    const factors = given.factors.split(',').map(Number)
    if (deployment === undefined) unknown(`no deployment is named ${given.deployment}`, Deployment.names)
    else if (!factors.every((one) => Number.isInteger(one) && one > 0)) unknown(`${given.factors}: not whole numbers`, ['1,3,10'])
    else scale(deployment, factors, say)
  },
})
const measuredSlopes = command({
  name: 'slopes',
  description: 'What each part of the control plane costs as one dimension grows, with hollow machines in one process.',
  args: {
    of: option({
      long: 'of',
      type: string,
      defaultValue: () => slopes.names.join(','),
      description: `comma-separated: ${slopes.names.join(', ')}`,
    }),
    sizes: option({ long: 'sizes', type: optional(string), description: 'comma-separated, three or more, for one dimension' }),
  },
  handler: (given) => {
    const names = given.of.split(',')
    const sizes = given.sizes?.split(',').map(Number)
    const why = slopes.impossible(names, sizes)
    if (why !== undefined) unknown(why, slopes.names)
    else slopes.run(names, sizes, say)
  },
})
const exploreRaft = command({
  name: 'explore',
  description: 'Runs the consensus log and its state through short seeded schedules of faults, and checks invariants at each step.',
  args: {
    schedules: option({ long: 'schedules', type: number, defaultValue: () => 1000, description: 'how many' }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1, description: 'the first seed' }),
    findings: option({ long: 'findings', type: number, defaultValue: () => 1, description: 'ends after so many' }),
    shrink: flag({ long: 'shrink', description: 'prints each finding as a schedule made as small as it gets' }),
  },
  handler: (given) => {
    const fromMs = performance.now()
    let findings = 0
    const ran = explore(given.seed, given.schedules, (finding) => {
      findings += 1
      process.exitCode = 1
      say(`seed ${String(finding.seed)} at ${finding.atMs.toFixed(1)} ms, ${finding.invariant}: ${finding.detail}`)
      if (given.shrink) say(JSON.stringify(shrinkSchedule(generateSchedule(finding.seed), finding.invariant)))
      return findings < given.findings
    })
    const spanS = (performance.now() - fromMs) / 1000
    say(`${String(ran)} schedules, ${String(findings)} findings, ${(ran / spanS).toFixed(0)} a second`)
  },
})
/** What a machine of eight cores and 24 GB bears. */
const mostProcesses = 100
const controlNodes = 3

/** How many fleets of a size may run at a time. */
function mostAtOnce({ gateways }: SoakSize): number {
  return Math.max(1, Math.floor(mostProcesses / (gateways + controlNodes)))
}

function sizeNamed(name: string): keyof typeof soakSizes | undefined {
  return name === 'small' || name === 'large' ? name : undefined
}

const leastSoakS = 20
const mostSoakS = 600
const sizesTold = Object.entries(soakSizes)
  .map(([name, one]) => `${name} (${String(one.gateways + controlNodes)} processes, ${String(mostAtOnce(one))} at a time)`)
  .join(', ')
const platformOptions = {
  dialect: option({
    long: 'dialect',
    type: string,
    defaultValue: () => fileURLToPath(new URL('../platform-check/platform/soak/PlatformDialect.js', import.meta.url)),
    description: 'the module with the formats of a platform',
  }),
  entry: option({ long: 'entry', type: optional(string), description: "another build of the product's program" }),
}
const soaked = command({
  name: 'soak',
  description:
    'Runs gateways and control nodes as real processes under overlapping troubles, a fleet a seed, and judges each. ' +
    `Troubles: ${troubleKinds.join(', ')}. Judges: ${Object.keys(soakJudges).join(', ')}.`,
  args: {
    seeds: option({ long: 'seeds', type: string, defaultValue: () => '1', description: 'as 7, or 1..20, or 3,5..8' }),
    size: option({ long: 'size', type: string, defaultValue: () => 'small', description: sizesTold }),
    seconds: option({ long: 'seconds', type: number, defaultValue: () => 30, description: 'how long to drive traffic, 20 to 600' }),
    parallel: option({
      long: 'parallel',
      type: number,
      defaultValue: () => 1,
      description: 'how many seeds at a time, as far as the size allows',
    }),
    ...platformOptions,
    keep: flag({ long: 'keep', description: 'keeps the logs of runs that pass, too' }),
  },
  handler: async (given) => {
    const seeds = readSeeds(given.seeds)
    const size = sizeNamed(given.size)
    const { seconds, parallel } = given
    if (seeds === undefined) unknown(`${given.seeds}: not seeds`, ['7', '1..20', '3,5..8'])
    else if (size === undefined) unknown(`no size is named ${given.size}`, Object.keys(soakSizes))
    else if (!(seconds >= leastSoakS && seconds <= mostSoakS)) unknown(`${String(seconds)}: no length of a soak`, ['20 to 600 seconds'])
    else if (!(Number.isInteger(parallel) && parallel >= 1 && parallel <= mostAtOnce(soakSizes[size])))
      unknown(`${String(parallel)}: not so many at a time`, [`1 to ${String(mostAtOnce(soakSizes[size]))} of this size`])
    else if (!(await soak({ ...given, size, seeds, say }))) process.exitCode = 1
  },
})
const bursts = command({
  name: 'bursts',
  description: 'Plays bursts of large messages on fleets of real processes, and prints what each process took as a table.',
  args: platformOptions,
  handler: async ({ dialect: module, entry }) => {
    const dialect = await loadDialect(module)
    await runBursts({ dialect, entry: entry ?? dialect.entry, say })
  },
})
await runCommand(
  subcommands({
    name: 'simulator',
    description: 'Tries springpaddle out against stand-ins.',
    cmds: {
      fleet,
      sim,
      compare: versus,
      ablate: ablation,
      scale: scaled,
      slopes: measuredSlopes,
      explore: exploreRaft,
      soak: soaked,
      bursts,
    },
  }),
  process.argv.slice(2),
)
