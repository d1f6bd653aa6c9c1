/** Settings of the platform that a domain depends on. */
export type DomainOptions = {
  /** Retention time of the record of an ended job, in milliseconds. */
  endedJobKeepMs: number;
};
