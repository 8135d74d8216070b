import type { SyncAnswer, SyncMessage } from '@fuchsiastage/fleet-peer'

/** A message and its response as daemons of the version before handovers exchange them, from a run of that version. */
export const EARLIER_MESSAGE: SyncMessage = {
  member: {
    name: 'entry-000',
    startedAt: 1,
    frontAddress: 'front-0',
    peerAddress: 'peer-0',
    dataCentre: 'a',
    state: 'serving'
  },
  rumours: [
    {
      member: {
        name: 'entry-000',
        startedAt: 1,
        frontAddress: 'front-0',
        peerAddress: 'peer-0',
        dataCentre: 'a',
        state: 'serving'
      },
      heardAgoMilliseconds: 0
    },
    {
      member: {
        name: 'entry-001',
        startedAt: 1,
        frontAddress: 'front-1',
        peerAddress: 'peer-1',
        dataCentre: 'a',
        state: 'serving'
      },
      heardAgoMilliseconds: 448
    },
    {
      member: {
        name: 'entry-002',
        startedAt: 1,
        frontAddress: 'front-2',
        peerAddress: 'peer-2',
        dataCentre: 'a',
        state: 'serving'
      },
      heardAgoMilliseconds: 448
    }
  ],
  contacts: [
    ['entry-001', 1, 448],
    ['entry-002', 1, 448]
  ],
  configurationVersion: 1,
  lacksTargets: false,
  holder: {
    name: 'entry-001',
    term: 7,
    heardAgoMilliseconds: 448
  },
  newsSince: {
    term: 7,
    sequence: 2
  },
  demand: [
    ['m1', 2],
    ['m1/a1', 1]
  ],
  inUse: ['t1@5 m1'],
  strained: ['t1@5'],
  targetLimits: [
    {
      target: 't1@5',
      requestsPerSecond: 4,
      ageMilliseconds: 338
    }
  ],
  quarantine: {
    crashes: [
      {
        target: 't1@5',
        service: 'drafter',
        ageMilliseconds: 338,
        isConfirmed: true,
        servedSince: 0,
        prompts: [
          {
            parts: ['p1'],
            sentAgoMilliseconds: 388,
            hasBegun: false
          }
        ],
        requests: [
          {
            fingerprint: 'f1',
            sentAgoMilliseconds: 388,
            hasBegun: false
          }
        ]
      }
    ],
    served: [],
    servedRequests: [],
    causes: []
  },
  leavingTargets: [
    ['t2@5', 338]
  ]
}

export const EARLIER_ANSWER = {
  member: {
    name: 'entry-001',
    startedAt: 1,
    frontAddress: 'front-1',
    peerAddress: 'peer-1',
    dataCentre: 'a',
    state: 'serving'
  },
  leaseTerm: 7,
  rumours: [],
  contacts: [],
  targets: [],
  targetLimits: [
    {
      target: 't1@5',
      requestsPerSecond: 4,
      ageMilliseconds: 336
    }
  ],
  quarantine: {
    crashes: [
      {
        target: 't1@5',
        service: 'drafter',
        ageMilliseconds: 340,
        isConfirmed: true,
        servedSince: 0,
        prompts: [
          {
            parts: ['p1'],
            sentAgoMilliseconds: 390,
            hasBegun: false
          }
        ],
        requests: [
          {
            fingerprint: 'f1',
            sentAgoMilliseconds: 390,
            hasBegun: false
          }
        ]
      }
    ],
    served: [],
    servedRequests: [],
    causes: []
  },
  leavingTargets: [
    ['t2@5', 340]
  ],
  news: [
    {
      key: 't1@5',
      load: {
        running: 1,
        waiting: 0,
        cacheTokensUsed: 10,
        cacheTokens: 100
      },
      ageMilliseconds: 30
    }
  ],
  newsVersion: {
    term: 7,
    sequence: 3
  }
} as unknown as SyncAnswer
