/** Figures of the platform that the decisions of a domain depend on. */
export type DomainOptions = {
  /** How long the record of an ended job is kept, in milliseconds. */
  endedJobKeepMs: number;
};
