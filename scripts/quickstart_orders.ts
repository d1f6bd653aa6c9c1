import type { Order } from "../stand_ins/local_cluster/mod.ts";

const ORDERS = 150;
const PROOFS = 60;
const MEMORIAL_RUNS = 24;
const CARDS_PER_RUN = 4;
const PORTRAITS = 6;

/** Bearer token by customer. */
export const TOKENS: Record<string, string> = {
  "order-desk": "quickstart-token-order-desk",
  "funeral-homes": "quickstart-token-funeral-homes",
  "parish-offices": "quickstart-token-parish-offices",
  "portrait-imaging": "quickstart-token-portrait-imaging",
};

/** The orders of a short day at the press, mixed. */
export function quickstartOrders(): Order[] {
  const orders = [
    ...ordersOf("order", ORDERS, "order-desk", 1, 100),
    ...ordersOf("proof", PROOFS, "order-desk", 1, 150),
    ...ordersOf(
      "memorial-run",
      MEMORIAL_RUNS,
      "funeral-homes",
      CARDS_PER_RUN,
      300,
    ),
    ...ordersOf("portrait-set", 1, "funeral-homes", PORTRAITS, 500),
  ];
  return orders.sort((left, right) => rankOf(left) - rankOf(right));
}

function ordersOf(
  work: string,
  count: number,
  customer: string,
  tasks: number,
  runMs: number,
): Order[] {
  return Array.from({ length: count }, (_order, number) => {
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

/** Spreads each kind of order evenly over the day. */
function rankOf(order: Order): number {
  const [number = "0"] = order.key.match(/\d+$/) ?? [];
  const counts: Record<string, number> = {
    "order": ORDERS,
    "proof": PROOFS,
    "memorial-run": MEMORIAL_RUNS,
    "portrait-set": 2,
  };
  return (Number(number) + 0.5) / (counts[order.submission.work] ?? 1);
}
