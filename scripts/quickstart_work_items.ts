import type { WorkItem } from "../stand_ins/local_cluster/mod.ts";

const ORDER_COUNT = 150;
const PROOF_COUNT = 60;
const MEMORIAL_RUN_COUNT = 24;
const CARDS_PER_RUN = 4;
const PORTRAITS_PER_SET = 6;

/** Bearer token by customer. */
export const TOKENS: Record<string, string> = {
  "order-desk": "quickstart-token-order-desk",
  "funeral-homes": "quickstart-token-funeral-homes",
  "parish-offices": "quickstart-token-parish-offices",
  "portrait-imaging": "quickstart-token-portrait-imaging",
};

/** Builds work items of several kinds, interleaved. */
export function quickstartWorkItems(): WorkItem[] {
  const workItems = [
    ...buildWorkItems("order", ORDER_COUNT, "order-desk", 1, 100),
    ...buildWorkItems("proof", PROOF_COUNT, "order-desk", 1, 150),
    ...buildWorkItems(
      "memorial-run",
      MEMORIAL_RUN_COUNT,
      "funeral-homes",
      CARDS_PER_RUN,
      300,
    ),
    ...buildWorkItems(
      "portrait-set",
      1,
      "funeral-homes",
      PORTRAITS_PER_SET,
      500,
    ),
  ];
  return workItems.sort((left, right) =>
    positionInRun(left) - positionInRun(right)
  );
}

function buildWorkItems(
  work: string,
  count: number,
  customer: string,
  tasks: number,
  runMs: number,
): WorkItem[] {
  return Array.from({ length: count }, (_item, number) => {
    const key = `${work}-${number}`;
    return {
      key,
      token: TOKENS[customer]!,
      submission: {
        agreement: customer,
        work,
        tasks: Array.from({ length: tasks }, (_task, index) => ({
          payload: { runMs, card: `${key}/${index}` },
        })),
      },
    };
  });
}

/** Sort key that spreads each kind of work evenly, between 0 and 1. */
function positionInRun(workItem: WorkItem): number {
  const [number = "0"] = workItem.key.match(/\d+$/) ?? [];
  const counts: Record<string, number> = {
    "order": ORDER_COUNT,
    "proof": PROOF_COUNT,
    "memorial-run": MEMORIAL_RUN_COUNT,
    "portrait-set": 2,
  };
  return (Number(number) + 0.5) / (counts[workItem.submission.work] ?? 1);
}
