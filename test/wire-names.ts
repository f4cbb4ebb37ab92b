/**
 * The Avro names of messages between controllers and what the code calls the same fields, written down a second time
 * beside `src/io/peer-codec.ts`: kept messages of other versions are read and compared with these names.
 */

/** The messages between controllers, by their Avro names. */
export type MessageType = "Sync" | "SyncAnswer" | "Deliver" | "Delivered" | "Word" | "WordAnswer";

/** By Avro name: the name in the code, and the names within the record or list that the field holds. */
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

/** By the name of a job's field in the kept records: its present name in `JobSpec`, where the two differ. */
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

/** A message with Avro names, as the code names its fields. */
export const toCodeNames = (type: MessageType, message: unknown): Json =>
  renameFields(
    message,
    FIELD_NAMES[type],
    (names) => (avroName) => nameAndNestedNames(names, avroName),
  ) as Json;

/** A message as the code names its fields, with Avro names. */
export const toAvroNames = (type: MessageType, message: unknown): Json =>
  renameFields(message, FIELD_NAMES[type], (names) => (name) => {
    const avroName = Object.keys(names).find((each) => nameAndNestedNames(names, each)[0] === name) ?? name;
    return [avroName, nameAndNestedNames(names, avroName)[1]];
  }) as Json;

/** What another version read in a job record, as kept beside it, with the present names of `JobSpec`. */
export const toJobSpecNames = (meaning: Json): Json =>
  Object.fromEntries(Object.entries(meaning).map(([name, value]) => [JOB_SPEC_NAMES[name] ?? name, value]));
