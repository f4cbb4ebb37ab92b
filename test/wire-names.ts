/**
 * Maps the Avro names of the messages between controllers to the names of the same fields in the code. It repeats the
 * mapping of `src/io/peer-codec.ts` on purpose: tests compare the kept messages of other versions by it.
 */

/** The messages between controllers, by their Avro names. */
export type MessageType = "Sync" | "SyncAnswer" | "Deliver" | "Delivered" | "Word" | "WordAnswer";

/** By Avro name: the name in the code, and the names of the fields nested in it. */
interface FieldNames {
  readonly [avroName: string]: string | readonly [string, FieldNames];
}

const HEARTBEAT: FieldNames = {
  session: "workerEpoch",
  seq: "sequence",
  token: "fencingToken",
  noticeS: "reclaimNoticeSeconds",
  tasks: ["tasks", { why: "exitReason" }],
};
const FIELD_NAMES: Record<MessageType, FieldNames> = {
  Sync: {
    token: "termNumber",
    mark: "leaderClockMark",
    version: "progressVersion",
    stateOk: "reachesStateService",
    stored: "storedFinishes",
    seen: ["contacts", { answeredMs: "answerAgeMs", heardMs: "heartbeatAgeMs" }],
    outcomes: ["commandResults", { session: "workerEpoch", seq: "sequence" }],
    reports: ["heartbeats", { report: ["heartbeat", HEARTBEAT] }],
  },
  SyncAnswer: {
    token: "termNumber",
    ok: "accepted",
    mark: "leaderClockMark",
    version: "progressVersion",
    stateOk: "reachesStateService",
  },
  Deliver: {
    term: ["term", { token: "number", key: "leaderRevision" }],
    items: [
      "batches",
      {
        session: "workerEpoch",
        token: "fencingToken",
        orders: ["commands", { graceS: "gracePeriodSeconds" }],
      },
    ],
  },
  Delivered: {},
  Word: { token: "termNumber" },
  WordAnswer: { noneNewer: "knowsNoNewerTerm" },
};

/** By the name of a job's field in the kept records: its name in `JobSpec`, where the two differ. */
const JOB_SPEC_NAMES: Readonly<Record<string, string>> = {
  spread: "spreadOverZones",
  checkpoint: "checkpointInterval",
  save: "saveDuration",
  awaits: "dependsOn",
};

type Json = Record<string, unknown>;
type Renaming = (name: string) => readonly [string, FieldNames];

const renameFields = (
  value: unknown,
  names: FieldNames,
  renaming: (names: FieldNames) => Renaming,
): unknown => {
  if (Array.isArray(value)) return value.map((item) => renameFields(item, names, renaming));
  if (typeof value !== "object" || value === null) return value;
  const rename = renaming(names);
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => {
      const [other, within] = rename(name);
      return [other, renameFields(field, within, renaming)];
    }),
  );
};

const nameAndNestedNames = (names: FieldNames, avroName: string): readonly [string, FieldNames] => {
  const name = names[avroName] ?? avroName;
  return typeof name === "string" ? [name, {}] : name;
};

/** Translates a message from Avro names to the names in the code. */
export const toCodeNames = (type: MessageType, message: unknown): Json =>
  renameFields(
    message,
    FIELD_NAMES[type],
    (names) => (avroName) => nameAndNestedNames(names, avroName),
  ) as Json;

/** Translates a message from the names in the code to Avro names. */
export const toAvroNames = (type: MessageType, message: unknown): Json =>
  renameFields(message, FIELD_NAMES[type], (names) => (name) => {
    const avroName = Object.keys(names).find((each) => nameAndNestedNames(names, each)[0] === name) ?? name;
    return [avroName, nameAndNestedNames(names, avroName)[1]];
  }) as Json;

/** Translates a kept job's decoded fields to the names in `JobSpec`. */
export const toJobSpecNames = (meaning: Json): Json =>
  Object.fromEntries(Object.entries(meaning).map(([name, value]) => [JOB_SPEC_NAMES[name] ?? name, value]));
