/** A point of a measurement: a size, and what was measured at it. */
export type Point = { x: number; y: number };

/** A straight line: `y = base + slope * x`. */
export type Line = { base: number; slope: number };

/** Fits a line to three or more points by least squares. */
export function fitLine(points: Point[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { x, y } of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return { base: meanY - slope * meanX, slope };
}
