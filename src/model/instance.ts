import * as v from "valibot";

/** Schema of an entry instance as its peers see it. */
export const instanceSchema = v.object({
  id: v.string(),
  incarnation: v.string(),
  zone: v.string(),
  region: v.string(),
  /** Base URL by IP number, such as `http://127.0.0.1:8001`. */
  url: v.string(),
});

/** One incarnation of an entry instance. */
export type Instance = v.InferOutput<typeof instanceSchema>;
